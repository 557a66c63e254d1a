import type * as http from "node:http";
import type * as net from "node:net";
import { DepartureProbe } from "./DepartureProbe.js";
import { Deferred } from "../utils/Deferred.js";
import { monotonicMs } from "../utils/clock.js";
import { readArrived } from "../utils/readArrived.js";
import { FramingAhead } from "./FramingAhead.js";
import type { FaultWriter } from "./FaultWriter.js";
import { formatLastHead } from "./formatLastHead.js";
import { headTooLate, stoppingFault, type ReadFault } from "./toReadFault.js";

/**
 * Time without bytes after which a connection is closed whose last answer has been written. What arrives meanwhile is read and dropped:
 * unread bytes would reset the connection, and the caller might not have read the answer.
 */
const lingerMs = 1_000;
/** Time after the last answer for which a caller may go on with what it sends. */
const maxLingerMs = 10_000;

/** Time without bytes after which a stopping instance refuses a request that has begun to arrive; packets that were lost come earlier. */
const stoppingSilenceMs = 1_000;

/**
 * What is known of a caller that has ended its sending half before its answers: it has reset the connection, it counts as one that has left
 * since nothing was written to it for too long, or it is present.
 */
export type CallerEndSign = "reset" | "silence" | "present";

/** What became of a caller that ended its sending half before its answers. */
export interface CallerEnd {
  readonly sign: CallerEndSign;
  /** Time since the end of the sending half was read. */
  readonly sinceEndMs: number;
  /** Time from the last request to the end of the sending half, as they were read; near 0 if the process read both late. */
  readonly sinceRequestMs: number;
  /** Writes to the connection meanwhile. */
  readonly writes: number;
}

/** One connection of an HTTP server. Decides when the connection ends: after the answers to all requests that were read from it. */
export class ServerConnection {
  /** Answers that have not been written to the connection, in the order of their requests. */
  private readonly _pending: http.ServerResponse[] = [];
  /** Number of bytes that had been read when the last request was complete. */
  private _requestBytes: number;
  private _isCloseAnnounced = false;
  private _lastMessage: http.IncomingMessage | undefined;
  /** What is wrong with the bytes behind the requests that were read. */
  private _fault: ReadFault | undefined;
  /** How the caller is told that the rest of its request has not arrived. */
  private _silenceFault = headTooLate;
  private _requestAtMs = monotonicMs();
  /** Resolves once it is known whether the caller has left; undefined unless that is in doubt. */
  private _doubt: Deferred<void> | undefined;

  /**
   * Takes charge of a socket.
   * @param _handshakeBytes - Number of bytes that had been read before the first request could arrive.
   * @param _onCallerEnd - Called once it is known what became of a caller that ended its sending half before its answers.
   */
  constructor(
    private readonly _socket: net.Socket,
    private readonly _writer: FaultWriter,
    private readonly _handshakeBytes: number,
    private readonly _onCallerEnd?: (end: CallerEnd, connection: ServerConnection) => void,
  ) {
    this._requestBytes = _handshakeBytes;
    // Node calls this after the last answer; its own version closes the connection without reading what arrives meanwhile.
    _socket.destroySoon = () => this._endAfterAnswers();
    _socket.once("end", () => this._noteCallerEnd());
    _socket.once("close", () => this._closeQueued());
  }

  /** Port of the other side. */
  get remotePort(): number | undefined {
    return this._socket.remotePort;
  }

  /** Whether no byte of a request has ever arrived. */
  get isUnused(): boolean {
    return this._socket.bytesRead === this._handshakeBytes;
  }

  /** Number of requests whose answers have not been written. */
  get inProgress(): number {
    return this._pending.length;
  }

  /** Whether no request is in progress, and none has begun to arrive. */
  get isIdle(): boolean {
    return this._pending.length === 0 && this._socket.bytesRead === this._requestBytes;
  }

  /** Whether a request is in progress, or has begun to arrive, whose caller waits for an answer. */
  get isBusy(): boolean {
    return this._pending.length > 0 || (!this.isIdle && !this._isCloseAnnounced);
  }

  /** Whether the caller has ended its sending half and it is not known yet whether it has left. */
  get isCallerInDoubt(): boolean {
    return this._doubt !== undefined;
  }

  /** Resolves once it is known whether the caller has left, by all that has arrived before the call. */
  async whenCallerCertain(): Promise<void> {
    // The end of a connection is read after the request in front of it.
    await readArrived();
    await this._doubt?.promise;
  }

  /**
   * Records a request, whose answer has been written once `response` closes.
   * @returns Whether the request may be processed; false if an earlier answer has announced the end of the connection.
   */
  add(message: http.IncomingMessage, response: http.ServerResponse): boolean {
    if (this._isCloseAnnounced) return false;
    // The caller itself asks for the end of the connection.
    if (!response.shouldKeepAlive) this._isCloseAnnounced = true;
    this._lastMessage = message;
    this._requestAtMs = monotonicMs();
    this._pending.push(response);
    this._requestBytes = this._socket.bytesRead;
    message.once("end", () => (this._requestBytes = this._socket.bytesRead));
    response.once("close", () => this._remove(response));
    return true;
  }

  /**
   * Announces the end of the connection with the head of `response`.
   * @returns False if further requests have been read; the last of their answers may announce the end.
   */
  announceClose(response: http.ServerResponse): boolean {
    if (this._pending.at(-1) !== response) return false;
    this._isCloseAnnounced = true;
    return true;
  }

  /** Refuses bytes that can't be read, after the answers to all requests before them, and ends the connection. */
  fail(fault: ReadFault): void {
    if (this._fault !== undefined) return;
    this._fault = fault;
    const last = this._pending.at(-1);
    if (this._lastMessage?.complete === false) this._refuseIncomplete(last, fault);
    if (last === undefined) this._endWithFault(fault);
  }

  /** Applies a longer idle time to a connection that waits for a request already. */
  raiseIdleTimeout(timeoutMs: number): void {
    const { timeout } = this._socket;
    if (this.isIdle && timeout !== undefined && timeout > 0 && timeout < timeoutMs)
      this._socket.setTimeout(timeoutMs);
  }

  /** Waits for further bytes; Node does not check the time for a head a second time. */
  awaitMore(timeoutMs: number): void {
    this._socket.setTimeout(timeoutMs);
  }

  /** Refuses a head that is not complete, unless more of it has arrived meanwhile. */
  async failIfSilent(fault: ReadFault, timeoutMs: number): Promise<void> {
    const { bytesRead } = this._socket;
    await readArrived();
    if (this._socket.bytesRead === bytesRead) this.fail(fault);
    else if (this._pending.length === 0 && !this.isIdle) this.awaitMore(timeoutMs);
  }

  /** Ends a connection whose idle time has passed, unless a request has arrived meanwhile. */
  async endIfSilent(): Promise<void> {
    const { bytesRead } = this._socket;
    await readArrived();
    if (this._pending.length > 0 || this._socket.bytesRead !== bytesRead) return;
    if (this.isIdle) this.close();
    else this.fail(this._silenceFault);
  }

  /** Closes the connection if it is idle; otherwise gives a request that has begun to arrive little time between its bytes. */
  stop(): void {
    this._silenceFault = stoppingFault;
    // The first request of a new connection may be on its way.
    if (this.isUnused) return;
    if (this.isIdle) this.close();
    else if (this._pending.length === 0) this.awaitMore(stoppingSilenceMs);
  }

  /** Closes the connection. */
  close(): void {
    this._socket.destroy();
  }

  private _remove(response: http.ServerResponse): void {
    this._pending.splice(this._pending.indexOf(response), 1);
    if (this._pending.length === 0 && this._fault !== undefined) this._endWithFault(this._fault);
  }

  /** Refuses the last request, whose body can't be read to its end, unless it has been answered. */
  private _refuseIncomplete(response: http.ServerResponse | undefined, fault: ReadFault): void {
    this._isCloseAnnounced = true;
    if (response?.headersSent === false) this._writer.refuse(response, fault);
  }

  /** Sends the refusal of bytes that belong to no request, unless the caller knows already that the connection ends. */
  private _endWithFault(fault: ReadFault): void {
    const socket = this._socket;
    if (socket.destroyed) return;
    if (!this._isCloseAnnounced) socket.write(this._format(fault));
    this._endAfterAnswers();
  }

  private _format(fault: ReadFault): string {
    const { type, body } = this._writer.getContent(fault);
    return formatLastHead(fault.status, { "Content-Type": type }, body) + body;
  }

  /** Waits with the end of the connection for the answers if the caller may have ended only its sending half. */
  private _noteCallerEnd(): void {
    if (this._pending.some((response) => !response.writableEnded)) void this._probeCaller();
  }

  private async _probeCaller(): Promise<void> {
    const endedAtMs = monotonicMs();
    const sinceRequestMs = endedAtMs - this._requestAtMs;
    const framing = new FramingAhead(this._socket);
    const doubt = (this._doubt = new Deferred<void>());
    const resolveDoubt = (): void => {
      doubt.resolve();
      this._doubt = undefined;
    };
    const report = (sign: CallerEndSign): void => {
      const { writes } = probe;
      this._onCallerEnd?.({ sign, sinceEndMs: monotonicMs() - endedAtMs, sinceRequestMs, writes }, this);
    };
    const probe = new DepartureProbe({
      getAwaited: () => this._pending[0],
      getBytesWritten: () => this._socket.bytesWritten,
      onLeft: () => {
        report("silence");
        this.close();
      },
      writeWithin: (response) => framing.write(response),
    });
    this._socket.once("close", (hadError) => {
      if (hadError) report("reset");
      resolveDoubt();
    });
    await probe.run();
    resolveDoubt();
    if (this._socket.destroyed) return;
    report("present");
    await probe.watch();
  }

  /** Ends the sending half once all answers have been written, and closes the connection when the caller ends its half. */
  private _endAfterAnswers(): void {
    this._isCloseAnnounced = true;
    this._socket.end(() => this._linger(maxLingerMs));
  }

  /** Closes the connection once the caller has sent nothing for a while, and after `leftMs` at the latest. */
  private _linger(leftMs: number): void {
    const socket = this._socket;
    const { bytesRead } = socket;
    const decide = async (): Promise<void> => {
      await readArrived();
      if (socket.bytesRead === bytesRead || leftMs <= lingerMs) this.close();
      else this._linger(leftMs - lingerMs);
    };
    const timer = setTimeout(() => void decide(), lingerMs).unref();
    socket.once("close", () => clearTimeout(timer));
  }

  /** Closes the answers that wait behind another one. Node closes only the answer that is being written. */
  private _closeQueued(): void {
    for (const response of [...this._pending]) {
      if (response.socket !== null || response.writableFinished) continue;
      response.destroy();
      response.emit("close");
    }
  }
}
