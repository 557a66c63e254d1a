/** One HTTP call, from its start to the headers of its answer. */
import * as http from "node:http";
import type * as net from "node:net";
import { errors, results, utils } from "@shedtiller/common";
import type { AnswerMemory } from "./AnswerMemory.js";
import type { Connector } from "./Connector.js";
import type { ConnectorAgent } from "./ConnectorAgent.js";
import { EndlessAnswerError } from "./EndlessAnswerError.js";
import { maxHeadBytes } from "./framing.js";
import type { CallError, HttpAnswer, HttpCall } from "./HttpCall.js";
import { KeepAliveAgent } from "./KeepAliveAgent.js";
import { PathLostError } from "./PathLostError.js";
import { waitForConnectionEnd } from "./waitForConnectionEnd.js";
import { WithdrawnError } from "./WithdrawnError.js";

/**
 * Time without an answer after which the path of the connection is checked, and after which a call ends if that path is lost. Most answers
 * arrive earlier.
 */
const silenceMs = 250;

/** Sends one request, and records whether the server may have received it. */
export class HttpExchange {
  private _isSettled = false;
  private _request: http.ClientRequest | undefined;
  /** The connection to which the request was written; undefined as long as the server cannot have received it. */
  private _socket: net.Socket | undefined;
  private _connectTimeout: utils.IoTimeout | undefined;
  private _headTimeout: utils.IoTimeout | undefined;
  private _silenceTimer: NodeJS.Timeout | undefined;
  /** Monotonic time at which the request was written to a direct connection; undefined on other connections. */
  private _sentDirectlyAtMs: number | undefined;
  private _receivedBytes = 0;
  private readonly _onAbort = (): void => this._end(new errors.CancelledError("A call"));

  constructor(
    private readonly _call: HttpCall,
    private readonly _agent: ConnectorAgent,
    private readonly _connector: Connector | undefined,
    private readonly _memory: AnswerMemory,
    private readonly _resolve: (result: results.Result<HttpAnswer, CallError>) => void,
  ) {}

  /** Sends the request; calls the function given to the constructor once with the result. */
  start(): void {
    const { _call: call } = this;
    if (call.signal?.aborted === true) return this._settle(results.Err(new errors.CancelledError("A call")));
    const [host = "", port = ""] = call.address.split(":");
    const request = http.request({
      host,
      port: Number(port),
      method: call.method,
      path: call.path,
      agent: this._agent,
      headers: this._getFramedHeaders() as unknown as http.OutgoingHttpHeaders,
    });
    this._request = request;
    request.on("socket", (socket) => this._watchConnection(socket));
    request.on("response", (message) => this._acceptHead(message));
    request.on("error", (error) => this._fail(error));
    call.signal?.addEventListener("abort", this._onAbort, { once: true });
    this._connectTimeout = new utils.IoTimeout(call.connectTimeoutMs, () => this._endUnconnected(), {
      isPauseExcluded: true,
    });
    this._headTimeout = new utils.IoTimeout(call.headTimeoutMs, () =>
      this._end(new errors.DeadlineError(`The answer of ${call.address}`, call.headTimeoutMs)),
    );
    request.end(call.body);
  }

  private _getFramedHeaders(): string[] {
    const { headers, body, method } = this._call;
    const hasBody = body !== undefined && (body.length > 0 || method !== "GET");
    const isKept = this._call.isFresh !== true;
    const framed = [...headers, "Connection", isKept ? "keep-alive" : "close"];
    return hasBody ? [...framed, "Content-Length", String(body.length)] : framed;
  }

  /** Ends the call, whose path is cut, if it has waited for its answer on a direct connection for longer than usual. */
  endIfSilent(): void {
    const waitedMs = utils.monotonicMs() - (this._sentDirectlyAtMs ?? Number.POSITIVE_INFINITY);
    if (waitedMs >= silenceMs) this._handleLostPath();
  }

  private _handleLostPath(): void {
    if (this._isSettled) return;
    const { address, isRepeatable, onPathLost } = this._call;
    if (onPathLost !== undefined) onPathLost();
    else if (isRepeatable === true) this._end(new PathLostError(address));
  }

  /** Records when the request is written: once the connection is established, or at once on a pooled connection. */
  private _watchConnection(socket: net.Socket): void {
    this._countReceived(socket);
    const onConnected = (): void => {
      if (this._isSettled) return;
      // What forbids the request may have become known while the connection was being established.
      if (this._call.mayStillBeSent?.() === false) return this._end(new WithdrawnError(this._call.address));
      this._socket = socket;
      this._connectTimeout?.clear();
      this._noteSent(socket);
    };
    if (socket.connecting) socket.once("connect", onConnected);
    else onConnected();
  }

  /** Counts the bytes of this answer; Node bounds neither interim answers nor what comes before a status line. */
  private _countReceived(socket: net.Socket): void {
    const count = (bytes: Buffer): void => {
      this._receivedBytes += bytes.length;
      if (!this._isSettled && this._receivedBytes > maxHeadBytes)
        this._end(new EndlessAnswerError(this._call.address, "head", maxHeadBytes));
    };
    socket.on("data", count);
    // The connection may be used again for another call.
    this._request?.once("close", () => socket.removeListener("data", count));
  }

  private _noteSent(socket: net.Socket): void {
    const path = this._connector?.getPath(socket);
    this._call.onConnected?.(path);
    if (this._isSettled || this._connector === undefined || path !== undefined) return;
    this._sentDirectlyAtMs = utils.monotonicMs();
    this._silenceTimer = setTimeout(() => this._noteSilence(), silenceMs);
  }

  private _noteSilence(): void {
    if (this._connector?.noteSilence(this._call.address) === true) this._handleLostPath();
  }

  private _acceptHead(message: http.IncomingMessage): void {
    if (this._isSettled) return void message.destroy();
    const request = this._request;
    const { socket } = message;
    if (this._agent instanceof KeepAliveAgent) this._agent.noteAnswer(socket, message.headers);
    const connectionEnd = isFramed(message) ? undefined : waitForConnectionEnd(socket);
    message.on("error", () => undefined);
    const getReceivedBytes = (): number => this._receivedBytes;
    this._settle(
      results.Ok({
        memory: this._memory,
        get receivedBytes() {
          return getReceivedBytes();
        },
        status: message.statusCode ?? 0,
        headers: message.rawHeaders,
        message,
        signal: this._call.signal,
        isWhole: async () =>
          message.complete &&
          (connectionEnd === undefined ||
            ((await connectionEnd) === "closed" && (await this._wasClosedByServer(socket)))),
        abort: () => request?.destroy(),
      }),
    );
  }

  private _wasClosedByServer(socket: net.Socket): Promise<boolean> {
    return this._connector?.wasClosedByServer(socket) ?? Promise.resolve(true);
  }

  private _fail(cause: unknown): void {
    const { address } = this._call;
    if (this._socket !== undefined)
      return this._settle(results.Err(new errors.ConnectionLostError(address, cause)));
    const isNotReached = cause instanceof errors.NotReachedError;
    this._settle(results.Err(isNotReached ? cause : new errors.NotReachedError(address, cause)));
  }

  private _endUnconnected(): void {
    if (this._socket !== undefined) return;
    this._settle(results.Err(new errors.NotReachedError(this._call.address)));
    this._request?.destroy();
  }

  private _end(error: CallError): void {
    if (this._isSettled) return;
    // A connection that is only closed still delivers the request once a cut has ended.
    if (this._socket !== undefined) utils.abandonSocket(this._socket);
    else this._request?.destroy();
    this._settle(results.Err(error));
  }

  private _settle(result: results.Result<HttpAnswer, CallError>): void {
    if (this._isSettled) return;
    this._isSettled = true;
    this._connectTimeout?.clear();
    this._headTimeout?.clear();
    clearTimeout(this._silenceTimer);
    this._call.signal?.removeEventListener("abort", this._onAbort);
    if (this._socket !== undefined) this._call.onOver?.();
    this._resolve(result);
  }
}

/** Returns whether the headers of the answer define where its body ends. */
function isFramed(message: http.IncomingMessage): boolean {
  return (
    message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined
  );
}
