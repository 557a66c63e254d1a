import type * as net from "node:net";
import { connections, utils } from "@shedtiller/common";
import type { MessageCodec } from "../http/MessageCodec.js";
import { overloaded } from "./listenerRefusals.js";
import type { RefusalReason } from "./sendRefusal.js";
import { splitHeads } from "./splitHeads.js";
import { tryDecodeCaller } from "./unreadFields.js";

const { status, reason, retryAfterMs } = overloaded;
const lineEnd = "\r\n";
const headEnd = lineEnd + lineEnd;
/** Size of a head from which on its end is not waited for. */
const maxHeadBytes = 64 * 1024;
/** Time for which a caller's head and the rest of its body are read; callers send both at once. */
const maxReadMs = 1_000;

/**
 * Rejects the requests of new connections. It reads no more of a request than its head and what has arrived behind it, and does without Node's HTTP server, which takes most of
 * the time that a rejection costs an overloaded process.
 */
export class ConnectionRefuser {
  private readonly _head: string;
  private readonly _lastHead: string;
  private readonly _body = JSON.stringify({ error: reason });

  /** @param _onRefused - Called with the id of each rejected request. */
  constructor(
    private readonly _codec: MessageCodec,
    private readonly _onRefused: (requestId: string | undefined, reason: RefusalReason) => void,
  ) {
    const headers = { ..._codec.encodeRefusal(retryAfterMs), "Content-Type": "application/json" };
    this._head = connections.formatHead(status, headers, this._body);
    this._lastHead = connections.formatLastHead(status, headers, this._body);
  }

  /** Rejects the requests of a connection from which nothing has been read; further ones may have arrived with the first. */
  refuse(socket: net.Socket): void {
    let received = "";
    let isAnswered = false;
    const answer = (): void => {
      if (isAnswered || received === "") return;
      isAnswered = true;
      const heads = splitHeads(received);
      heads.forEach((head, index) => this._answer(socket, head, index === heads.length - 1));
    };
    // A connection that is closed with unread bytes is reset, and the caller may lose the answer: the rest is read until the caller closes.
    socket.on("data", (part: Buffer) => {
      if (isAnswered) return;
      received += part.toString("latin1");
      if (received.includes(headEnd) || received.length >= maxHeadBytes) answer();
    });
    socket.on("end", () => {
      answer();
      socket.end();
    });
    socket.on("error", () => undefined);
    const timeout = new utils.IoTimeout(maxReadMs, () => {
      answer();
      socket.destroySoon();
    });
    socket.once("close", () => timeout.clear());
  }

  private _answer(socket: net.Socket, head: string, isLast: boolean): void {
    const body = head.startsWith("HEAD ") ? "" : this._body;
    if (isLast) socket.end(this._lastHead + body);
    else socket.write(this._head + body);
    this._onRefused(tryDecodeCaller(this._codec, decodeHeaders(head)).requestId, reason);
  }
}

/** Returns the headers of a head, which may be incomplete, as alternating names and values. */
function decodeHeaders(head: string): string[] {
  return head
    .split(lineEnd)
    .slice(1)
    .flatMap((line) => {
      const separator = line.indexOf(":");
      return separator < 1 ? [] : [line.slice(0, separator), line.slice(separator + 1).trim()];
    });
}
