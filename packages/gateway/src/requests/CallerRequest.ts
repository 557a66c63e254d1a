/** One request of a caller: what it asks, how long it may take, and its answer. */
import type * as http from "node:http";
import { utils } from "@shedtiller/common";
import type { GatewayAccount, Route } from "../configuration/gatewayConfiguration.js";
import type { CallerFields, MessageCodec } from "../http/MessageCodec.js";
import type { LogFields } from "../logs/DecisionLog.js";
import { digestRequest, type RequestIdentity } from "@shedtiller/crashes";
import { sendRefusal, type RefusalReason } from "./sendRefusal.js";

/** What a request is made of. */
export interface CallerRequestStructure {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly fields: CallerFields;
  readonly route: Route;
  readonly account: GatewayAccount | undefined;
  readonly body: Buffer;
  /** Monotonic time of the arrival of the head. */
  readonly arrivedAtMs: number;
  readonly codec: MessageCodec;
  readonly isDraining: () => boolean;
}

/** A request in hand. Its answer is given exactly once. */
export class CallerRequest {
  readonly fields: CallerFields;
  readonly route: Route;
  readonly account: GatewayAccount | undefined;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** Monotonic time by which the final answer is due. */
  readonly dueAtMs: number;
  readonly isIdempotent: boolean;
  /** Endpoints that it was sent to. */
  attempts = 0;
  outcome = "open";
  /** What the forwarder noted for the line that ends the request. */
  details: LogFields = {};
  private readonly _left = new AbortController();
  private _digest: string | undefined;

  constructor(private readonly _structure: CallerRequestStructure) {
    const { fields, route, account, body, arrivedAtMs } = _structure;
    this.fields = fields;
    this.route = route;
    this.account = account;
    this.body = body;
    this.arrivedAtMs = arrivedAtMs;
    this.dueAtMs = arrivedAtMs + Math.min(fields.deadlineMs ?? route.timeoutMs, route.timeoutMs);
    this.isIdempotent = route.kind === "safe" || (route.kind === "streaming" && route.isResumable);
    _structure.response.on("close", () => {
      if (!_structure.response.writableFinished) this._left.abort();
    });
    _structure.response.on("error", () => this._left.abort());
  }

  get id(): string {
    return this.fields.requestId ?? "";
  }

  get method(): string {
    return this._structure.message.method ?? "GET";
  }

  get path(): string {
    return this._structure.message.url ?? "/";
  }

  get headers(): readonly string[] {
    return this._structure.message.rawHeaders;
  }

  /** Equal for equal requests. Made when it is first asked for, since most requests never need it. */
  get digest(): string {
    this._digest ??= digestRequest(this.identity);
    return this._digest;
  }

  /** What makes it equal to another request. */
  get identity(): RequestIdentity {
    const { method, path, body } = this;
    return { method, path, accountName: this.account?.name, body };
  }

  get priority(): number {
    return this.account?.priority ?? this.route.priority;
  }

  /** Aborts once the caller has left. */
  get signal(): AbortSignal {
    return this._left.signal;
  }

  get isHeadSent(): boolean {
    return this._structure.response.headersSent;
  }

  get isAnswered(): boolean {
    return this._structure.response.writableEnded || this._structure.response.destroyed;
  }

  getRemainingMs(): number {
    return this.dueAtMs - utils.monotonicMs();
  }

  /** Passes on a whole answer of an endpoint. */
  answer(status: number, headers: readonly string[], body: Buffer): void {
    if (this.isAnswered) return;
    this.outcome = `status ${status}`;
    this._writeHead(status, headers, ["Content-Length", String(body.length)]);
    this._structure.response.end(body);
  }

  /** Ends the request with an answer of our own. */
  refuse(status: number, reason: RefusalReason, retryAfterMs?: number): void {
    if (this.isAnswered) return;
    this.outcome = reason;
    if (this.isHeadSent) return this.abortStream(reason);
    sendRefusal(
      this._structure.response,
      status,
      reason,
      this._structure.codec.encodeRefusal(retryAfterMs),
      this._structure.isDraining(),
    );
  }

  /** Passes on the head of a stream. */
  startStream(status: number, headers: readonly string[]): void {
    this._writeHead(status, headers, []);
    this._structure.response.flushHeaders();
  }

  /** Passes on bytes of a stream; tells whether the caller keeps up. */
  write(bytes: Buffer): boolean {
    return this._structure.response.write(bytes);
  }

  /** Calls `listener` once the caller has taken what was written. */
  onceDrained(listener: () => void): void {
    this._structure.response.once("drain", listener);
  }

  /** Ends a stream as complete. */
  finish(): void {
    this.outcome = "completed";
    this._structure.response.end();
  }

  /** Ends a stream so that it cannot look complete. */
  abortStream(reason: RefusalReason): void {
    this.outcome = reason;
    this._structure.response.destroy();
  }

  /** Writes the head of an endpoint's answer as it goes to the caller, with lines of our own at its end. */
  private _writeHead(status: number, headers: readonly string[], own: readonly string[]): void {
    const { codec, response, isDraining } = this._structure;
    const connection = isDraining() ? ["Connection", "close"] : [];
    const lines = [...codec.encodeForCaller(headers), ...connection, ...own];
    // Node takes raw lines as well, which its types leave out.
    response.writeHead(status, lines as unknown as http.OutgoingHttpHeader[]);
  }
}
