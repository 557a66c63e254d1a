/** Calls over HTTP/1.1 to endpoints and to the store, with what is known of a call that failed. */
import * as http from "node:http";
import { errors, results, utils } from "@shedtiller/common";

/** Why a call gave no usable answer. Only `NotReachedError` proves that the other side saw nothing. */
export type CallError =
  | errors.NotReachedError
  | errors.ConnectionLostError
  | errors.DeadlineError
  | errors.CancelledError
  | AnswerTooLargeError;

/** An answer went past the size that the caller of this module allows. */
export class AnswerTooLargeError extends errors.ShedtillerError {
  readonly code = "answer_too_large";

  constructor(
    readonly address: string,
    readonly maxBytes: number,
  ) {
    super(`The answer of ${address} is larger than ${maxBytes} bytes.`);
  }
}

/** One call. */
export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Raw header lines, without those that frame the body. */
  readonly headers: readonly string[];
  readonly body?: Buffer | undefined;
  /** Uses a connection of its own, so that a failure before it stands proves that nothing was sent. */
  readonly isFresh?: boolean;
  readonly connectTimeoutMs: number;
  /** Time from the call until the head of the answer. */
  readonly headTimeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}

/** The head of an answer; the body is still to be read. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly message: http.IncomingMessage;
  /** Whether the answer came whole. An answer without a length ends with its connection; a reset one is not whole. */
  isWhole(): Promise<boolean>;
  /** Ends the call and its connection. */
  abort(): void;
}

/** A whole answer. */
export interface WholeAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Rested connections per address; more are closed. Endpoints allow hundreds over all callers. */
const maxFreeSockets = 16;
/** A rested connection is not used again past this; below the shortest rest seen on endpoints (whole seconds). */
const maxRestMs = 900;

/** Makes calls over kept or fresh connections. */
export class HttpCaller {
  private readonly _kept = new http.Agent({
    keepAlive: true,
    maxFreeSockets,
    timeout: maxRestMs,
    scheduling: "lifo",
  });
  private readonly _fresh = new http.Agent({ keepAlive: false });

  /** Sends a request and waits for the head of its answer. */
  send(call: HttpCall): Promise<results.Result<HttpAnswer, CallError>> {
    return new Promise((resolve) => {
      const exchange = new Exchange(call, call.isFresh === true ? this._fresh : this._kept, resolve);
      exchange.start();
    });
  }

  /** Sends a request and reads its whole answer. */
  async fetch(
    call: HttpCall,
    maxBytes: number,
    bodyTimeoutMs: number,
  ): Promise<results.Result<WholeAnswer, CallError>> {
    const head = await this.send(call);
    if (head.err) return head;
    const body = await readBody(head.val, call.address, maxBytes, bodyTimeoutMs);
    if (body.err) return body;
    return results.Ok({ status: head.val.status, headers: head.val.headers, body: body.val });
  }

  close(): void {
    this._kept.destroy();
    this._fresh.destroy();
  }
}

/** One request from its start to the head of its answer. */
class Exchange {
  private _isSettled = false;
  private _mayHaveArrived = false;
  private _request: http.ClientRequest | undefined;
  private _connectTimer: NodeJS.Timeout | undefined;
  private _headTimer: NodeJS.Timeout | undefined;
  private readonly _onAbort = (): void => this._end(new errors.CancelledError("A call"));

  constructor(
    private readonly _call: HttpCall,
    private readonly _agent: http.Agent,
    private readonly _resolve: (result: results.Result<HttpAnswer, CallError>) => void,
  ) {}

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
    request.on("socket", (socket) => this._watchConnection(socket.connecting, socket));
    request.on("response", (message) => this._acceptHead(message));
    request.on("error", (error) => this._fail(error));
    call.signal?.addEventListener("abort", this._onAbort, { once: true });
    this._connectTimer = setTimeout(() => this._endUnconnected(), call.connectTimeoutMs);
    this._headTimer = setTimeout(
      () => this._end(new errors.DeadlineError(`The answer of ${call.address}`, call.headTimeoutMs)),
      call.headTimeoutMs,
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

  /** The request is written as soon as the connection stands; on a kept one that is now. */
  private _watchConnection(
    isConnecting: boolean,
    socket: { once(event: "connect", listener: () => void): unknown },
  ): void {
    const connected = (): void => {
      this._mayHaveArrived = true;
      clearTimeout(this._connectTimer);
    };
    if (isConnecting) socket.once("connect", connected);
    else connected();
  }

  private _acceptHead(message: http.IncomingMessage): void {
    if (this._isSettled) return void message.destroy();
    const request = this._request;
    const ending = isFramed(message) ? undefined : watchEnding(message);
    message.on("error", () => undefined);
    this._settle(
      results.Ok({
        status: message.statusCode ?? 0,
        headers: message.rawHeaders,
        message,
        isWhole: async () => message.complete && (ending === undefined || (await ending) === "closed"),
        abort: () => request?.destroy(),
      }),
    );
  }

  private _fail(cause: unknown): void {
    const { address } = this._call;
    const error = this._mayHaveArrived
      ? new errors.ConnectionLostError(address, cause)
      : new errors.NotReachedError(address, cause);
    this._settle(results.Err(error));
  }

  private _endUnconnected(): void {
    if (this._mayHaveArrived) return;
    this._settle(results.Err(new errors.NotReachedError(this._call.address)));
    this._request?.destroy();
  }

  private _end(error: CallError): void {
    this._settle(results.Err(error));
    this._request?.destroy();
  }

  private _settle(result: results.Result<HttpAnswer, CallError>): void {
    if (this._isSettled) return;
    this._isSettled = true;
    clearTimeout(this._connectTimer);
    clearTimeout(this._headTimer);
    this._call.signal?.removeEventListener("abort", this._onAbort);
    this._resolve(result);
  }
}

/** Whether the answer says where its body ends. */
function isFramed(message: http.IncomingMessage): boolean {
  return (
    message.headers["content-length"] !== undefined || message.headers["transfer-encoding"] !== undefined
  );
}

/** An empty line, which a server ignores before a request (RFC 9112, section 2.2). */
const emptyLine = "\r\n";

/**
 * Tells how the connection of an answer without a length ended. A reset that is read together with data reaches Node as an
 * ordinary end (libuv reports a hang-up after a partial read as such), and only a write shows that the connection is reset.
 */
function watchEnding(message: http.IncomingMessage): Promise<"closed" | "reset"> {
  const { socket } = message;
  return new Promise((resolve) => {
    socket.prependOnceListener("error", () => resolve("reset"));
    socket.prependOnceListener("end", () => {
      socket.write(emptyLine, (error) => resolve(error === undefined || error === null ? "closed" : "reset"));
    });
    socket.once("close", () => resolve("reset"));
  });
}

/** Reads a body to its end; an answer that was broken off is an error. */
export function readBody(
  answer: HttpAnswer,
  address: string,
  maxBytes: number,
  timeoutMs: number,
): Promise<results.Result<Buffer, CallError>> {
  const done = new utils.Deferred<results.Result<Buffer, CallError>>();
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  const timer = setTimeout(
    () => fail(new errors.DeadlineError(`The body of ${address}`, timeoutMs)),
    timeoutMs,
  );
  const fail = (error: CallError): void => {
    done.resolve(results.Err(error));
    answer.abort();
  };
  answer.message.on("data", (part: Buffer) => {
    sizeBytes += part.length;
    parts.push(part);
    if (sizeBytes > maxBytes) fail(new AnswerTooLargeError(address, maxBytes));
  });
  answer.message.on("end", () => {
    void answer.isWhole().then((isWhole) => {
      if (isWhole) done.resolve(results.Ok(Buffer.concat(parts)));
      else fail(new errors.ConnectionLostError(address));
    });
  });
  answer.message.on("error", (error) => fail(new errors.ConnectionLostError(address, error)));
  answer.message.on("close", () => {
    if (!answer.message.complete) done.resolve(results.Err(new errors.ConnectionLostError(address)));
  });
  return done.promise.finally(() => clearTimeout(timer));
}
