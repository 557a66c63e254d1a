/** One request of a caller: its input, its deadline and the answer that is written to the caller. */
import type * as http from "node:http";
import { utils, type connections } from "@shedtiller/common";
import type { GatewayAccount, Route } from "../configuration/gatewayConfiguration.js";
import type { CallerFields, MessageCodec } from "../http/MessageCodec.js";
import type { LogFields } from "../logs/LogOutput.js";
import { digestRequest, getPartTraits, type RequestIdentity, type RequestTraits } from "@shedtiller/crashes";
import { RequestSends } from "./RequestSends.js";
import { sendRefusal, type RefusalReason } from "./sendRefusal.js";

/** Dependencies of {@link CallerRequest}. */
export interface CallerRequestStructure {
  readonly message: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly fields: CallerFields;
  readonly route: Route;
  readonly account: GatewayAccount | undefined;
  readonly body: Buffer;
  /** Monotonic time at which the request headers arrived. */
  readonly arrivedAtMs: number;
  readonly codec: MessageCodec;
  /** Decides, as the head of the answer is written, whether the connection ends after the answer. */
  readonly endsConnection: () => boolean;
  readonly presence: CallerPresence;
}

/** What is known of the caller of a request at the other end of its connection. */
export type CallerPresence = Pick<connections.ServerConnection, "isCallerInDoubt" | "whenCallerCertain">;

/** A request in flight. Its final answer is written exactly once. */
export class CallerRequest {
  readonly fields: CallerFields;
  readonly route: Route;
  readonly account: GatewayAccount | undefined;
  readonly body: Buffer;
  readonly arrivedAtMs: number;
  /** Monotonic time by which the final answer is due. */
  readonly dueAtMs: number;
  readonly isIdempotent: boolean;
  /** Number of sends to endpoints that may have reached the endpoint. */
  attempts = 0;
  readonly sends = new RequestSends();
  outcome = "open";
  /** Name of the peer that forwarded the last send; undefined if it was sent directly. */
  peer: string | undefined;
  /** Fields that the forwarder adds to the log line of the request's end. */
  details: LogFields = {};
  private readonly _over = new AbortController();
  private _digest: string | undefined;
  private _partTraits: RequestTraits | undefined;
  private _traits: RequestTraits | undefined;

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
      if (!_structure.response.writableFinished) this._over.abort();
    });
    _structure.response.on("error", () => this._over.abort());
    // The caller may have left before the request was passed on.
    if (_structure.response.destroyed) this._over.abort();
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

  /** Digest that is the same for identical requests. Computed on first use, since most requests do not need it. */
  get digest(): string {
    this._digest ??= digestRequest(this.identity);
    return this._digest;
  }

  /** The properties by which the request may crash the endpoints that run it. Computed on first use, since they include the digest. */
  get traits(): RequestTraits {
    this._traits ??= [this.digest, ...this.partTraits];
    return this._traits;
  }

  /** The traits of the parts of the prompt that other requests may share. */
  get partTraits(): RequestTraits {
    this._partTraits ??= getPartTraits(this.fields.promptPartIds);
    return this._partTraits;
  }

  /** The properties that make two requests identical to the endpoints. */
  get identity(): RequestIdentity {
    const { method, path, body } = this;
    return { method, path, accountName: this.account?.name, body };
  }

  get priority(): number {
    return this.account?.priority ?? this.route.priority;
  }

  /** Aborts when the caller disconnects, and when the gateway refuses the request. */
  get signal(): AbortSignal {
    return this._over.signal;
  }

  /** Whether it is not known yet if the caller has left. Nothing new is begun for it meanwhile. */
  get isCallerInDoubt(): boolean {
    return this._structure.presence.isCallerInDoubt;
  }

  /** Waits while it is in doubt whether the caller has left, before the request is sent; returns whether the request still wants an answer. */
  async confirmCaller(): Promise<boolean> {
    await this._structure.presence.whenCallerCertain();
    return !this._over.signal.aborted;
  }

  /**
   * Whether the head of a stream may be written before its first event. It may not over HTTP/1.0: once the head is written, nothing else can
   * show there that the caller has left.
   */
  get mayStartEarly(): boolean {
    return this._structure.message.httpVersion !== "1.0";
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

  /** Forwards a complete answer of an endpoint. */
  answer(status: number, headers: readonly string[], body: Buffer): void {
    if (this.isAnswered) return;
    this.outcome = `status ${status}`;
    this._writeHead(status, headers, ["Content-Length", String(body.length)]);
    this._structure.response.end(body);
  }

  /** Ends the request with a rejection by the gateway itself; aborts a stream that has begun. */
  refuse(status: number, reason: RefusalReason, retryAfterMs?: number): void {
    if (this.isAnswered) return;
    this.outcome = reason;
    if (this.isHeadSent) return this.abortStream(reason);
    sendRefusal(
      this._structure.response,
      status,
      reason,
      this._structure.codec.encodeRefusal(retryAfterMs),
      this._structure.endsConnection(),
    );
    this._over.abort();
  }

  /** Forwards the status and headers of a stream. */
  startStream(status: number, headers: readonly string[]): void {
    this._writeHead(status, headers, []);
    this._structure.response.flushHeaders();
  }

  /** Forwards bytes of a stream; returns false if the write buffer is full. */
  write(bytes: Buffer): boolean {
    return this._structure.response.write(bytes);
  }

  /** Calls `listener` once the write buffer has drained. */
  onceDrained(listener: () => void): void {
    this._structure.response.once("drain", listener);
  }

  /** Completes a stream. */
  finish(): void {
    this.outcome = "completed";
    this._structure.response.end();
  }

  /** Destroys the connection of a stream, so that the stream does not look complete to the caller. */
  abortStream(reason: RefusalReason): void {
    this.outcome = reason;
    this._structure.response.destroy();
  }

  /** Writes the status and those of the endpoint's headers that are forwarded to callers, followed by the gateway's `ownHeaders`. */
  private _writeHead(status: number, headers: readonly string[], ownHeaders: readonly string[]): void {
    const { codec, response, endsConnection } = this._structure;
    const connection = endsConnection() ? ["Connection", "close"] : [];
    const rawHeaders = [...codec.encodeForCaller(headers), ...connection, ...ownHeaders];
    // Node also accepts raw headers, which its type declarations omit.
    response.writeHead(status, rawHeaders as unknown as http.OutgoingHttpHeader[]);
  }
}
