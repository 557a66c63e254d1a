import * as net from "node:net";
import { utils } from "@shedtiller/common";
import { generousMs } from "./endpointHandlers.js";

const statusLine = /HTTP\/1\.1 (\d{3}) /g;
const interimStatusLimit = 200;

/** A caller that writes the bytes of its requests itself. */
export class RawCaller {
  /** All that has been received. */
  received = "";
  /** Whether the gateway has ended its half of the connection. */
  isEnded = false;
  isClosed = false;
  error: Error | undefined;
  readonly socket: net.Socket;

  constructor(readonly port: number) {
    this.socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    this.socket.on("data", (bytes: Buffer) => (this.received += bytes.toString("latin1")));
    this.socket.on("error", (error) => (this.error = error));
    this.socket.on("end", () => (this.isEnded = true));
    this.socket.on("close", () => (this.isClosed = true));
  }

  /** Statuses of the final answers so far. */
  get statuses(): number[] {
    const statuses = [...this.received.matchAll(statusLine)].map(([, status]) => Number(status));
    return statuses.filter((status) => status >= interimStatusLimit);
  }

  /** Writes bytes; resolves once they have been passed to the kernel. */
  send(text: string): Promise<void> {
    return new Promise((resolve) => this.socket.write(text, () => resolve()));
  }

  /** Ends the sending half. */
  endSending(): void {
    this.socket.end();
  }

  /** Resolves once the gateway has closed its half of the connection or the whole connection. */
  async waitForEnd(): Promise<void> {
    await utils.waitUntil(() => this.isEnded || this.isClosed, generousMs);
  }

  /** Resolves once this many final answers have begun, or the connection has ended. */
  async waitForAnswers(count: number): Promise<void> {
    await utils.waitUntil(() => this.statuses.length >= count || this.isEnded || this.isClosed, generousMs);
  }

  close(): void {
    this.socket.destroy();
  }
}

/** Returns the bytes of a request. */
export function formatRequest(id: string, path: string, lines: readonly string[] = [], body = ""): string {
  const head = [`POST ${path} HTTP/1.1`, "host: notes.example", `x-id: ${id}`, "x-key: k1", ...lines];
  return [...head, `content-length: ${body.length}`, "", body].join("\r\n");
}
