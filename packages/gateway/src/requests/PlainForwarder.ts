/** Forwarder of plain requests, whose answers are buffered and forwarded as a whole. */
import { errors, utils, type results } from "@shedtiller/common";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { SendPermit } from "../discovery/SendPermit.js";
import type { CallError, BufferedAnswer } from "../http/HttpCall.js";
import type { CallerRequest } from "./CallerRequest.js";
import { pickPlainEndpoint } from "./pickPlainEndpoint.js";
import type { PermitQueue } from "./PermitQueue.js";
import {
  failureStatus,
  noEndpointRetryAfterMs,
  RequestForwarder,
  type ForwardContext,
} from "./RequestForwarder.js";

const maxAnswerBytes = 16 * 1024 * 1024;
/** Retry-After of a request that was not executed: about the service time of a plain request. */
const retryAfterMs = 100;
/** A safe request without an answer after this share of its target latency is abandoned and sent to another endpoint. */
const resendAfterShare = 0.55;
/** Minimum remaining time for a send: a tenth of the time that a plain request usually takes. */
const minSendMs = 10;

/** Result of one send. */
type SendOutcome =
  | { readonly kind: "answer"; readonly answer: BufferedAnswer }
  | { readonly kind: "not-run"; readonly error: string }
  | { readonly kind: "unknown"; readonly error: string }
  /** The endpoint closed the connection. */
  | { readonly kind: "lost"; readonly error: string };

/** The endpoint chosen for a send, with the permit for it. */
interface PlainChoice {
  readonly endpoint: Endpoint;
  readonly permit: SendPermit;
}

/** Forwards plain requests. Retries safe requests after any failure, other requests only if they were provably not executed. */
export class PlainForwarder extends RequestForwarder {
  constructor(
    context: ForwardContext,
    private readonly _queue: PermitQueue,
  ) {
    super(context);
  }

  async run(request: CallerRequest, service: string): Promise<void> {
    const excluded = new Set<string>();
    let lastAnswer: BufferedAnswer | undefined;
    let hasRun = false;
    for (;;) {
      if (await this.refuseIfQuarantined(request, hasRun)) return;
      if (request.getRemainingMs() < minSendMs) break;
      const choice = await this._choose(request, service, excluded, lastAnswer === undefined);
      if (request.signal.aborted) return choice?.permit.release();
      if (choice === undefined) break;
      const { endpoint, permit } = choice;
      if (!this._mayBeSentNow(request)) {
        permit.release();
        continue;
      }
      excluded.add(endpoint.id);
      const run = { request, endpointId: endpoint.id, hasBegun: true, firstEventAtMs: undefined };
      this.context.crashes.begin(run);
      const outcome = await this._send(request, endpoint, permit);
      this.context.crashes.end(run);
      if (outcome.kind === "answer")
        this.context.crashes.noteCompleted(request.route.kind, request, run, endpoint);
      if (outcome.kind === "lost") void this.context.crashes.noteLost(run, endpoint);
      if (request.signal.aborted) return;
      if (outcome.kind === "answer" && !isRetryable(request, outcome.answer.status)) {
        return request.answer(outcome.answer.status, outcome.answer.headers, outcome.answer.body);
      }
      if (outcome.kind === "answer") lastAnswer = outcome.answer;
      if (outcome.kind !== "not-run") hasRun = true;
      this._logFailedSend(request, endpoint, outcome);
      const mayRepeat = request.isIdempotent || !hasRun;
      if (!mayRepeat || (request.attempts > 0 && !this.tryWithdrawRetry(request, service))) break;
    }
    this._end(request, service, lastAnswer, hasRun);
  }

  /**
   * Returns whether the request may still be sent after its wait for a permit. During the wait its deadline may have come too close, or an
   * identical request may have been quarantined.
   */
  private _mayBeSentNow(request: CallerRequest): boolean {
    const isQuarantined = this.context.crashes.getQuarantineMs(request) !== undefined;
    return !isQuarantined && request.getRemainingMs() >= minSendMs;
  }

  /** Picks an endpoint and acquires a permit for it. Waits if `mayWait` is set and an endpoint that is not excluded has no permit. */
  private async _choose(
    request: CallerRequest,
    service: string,
    excluded: ReadonlySet<string>,
    mayWait: boolean,
  ): Promise<PlainChoice | undefined> {
    return this._queue.acquire({
      service,
      priority: request.priority,
      accountName: request.account?.name,
      maxWaitMs: mayWait && this._lacksPermits(service, excluded) ? request.getRemainingMs() - minSendMs : 0,
      signal: request.signal,
      tryAcquire: () => this._tryAcquire(request, service, excluded),
    });
  }

  private _tryAcquire(
    request: CallerRequest,
    service: string,
    excluded: ReadonlySet<string>,
  ): PlainChoice | undefined {
    const endpoint = this._pick(request, service, excluded);
    const permit = endpoint?.tryAcquirePermit(utils.monotonicMs());
    return endpoint === undefined || permit === undefined ? undefined : { endpoint, permit };
  }

  /** Returns whether an endpoint that is not excluded has no permit now. */
  private _lacksPermits(service: string, excluded: ReadonlySet<string>): boolean {
    const nowMs = utils.monotonicMs();
    const candidates = this.context.endpoints.getUsable(service).filter(({ id }) => !excluded.has(id));
    return candidates.some((endpoint) => !endpoint.hasPermit(nowMs));
  }

  /**
   * Returns the least loaded endpoint. A request that may have crashed an endpoint goes to one without other such requests if possible,
   * so that a further crash can be attributed to a single request.
   */
  private _pick(
    request: CallerRequest,
    service: string,
    excluded: ReadonlySet<string>,
  ): Endpoint | undefined {
    const nowMs = utils.monotonicMs();
    const avoided = this.context.crashes.getAvoidedEndpointIds(request);
    const mayProbe = hasRetryLeft(request);
    const pick = (excludedIds: ReadonlySet<string>): Endpoint | undefined =>
      pickPlainEndpoint(this.context, { service, excluded: excludedIds, mayProbe }, nowMs);
    const isolated = avoided.length === 0 ? undefined : pick(new Set([...excluded, ...avoided]));
    return isolated ?? pick(excluded);
  }

  private _end(
    request: CallerRequest,
    service: string,
    lastAnswer: BufferedAnswer | undefined,
    hasRun: boolean,
  ): void {
    if (lastAnswer !== undefined)
      return request.answer(lastAnswer.status, lastAnswer.headers, lastAnswer.body);
    if (!hasRun && this.context.forecast.isBlocked(service)) return this._refuseBlocked(request, service);
    if (!hasRun && request.attempts === 0) return request.refuse(503, "no-endpoint", noEndpointRetryAfterMs);
    if (!hasRun) return request.refuse(503, "not-run", retryAfterMs);
    if (request.getRemainingMs() <= 0) return request.refuse(504, "out-of-time");
    request.refuse(502, "outcome-unknown");
  }

  /** Rejects a request that no endpoint can accept in time because of rate limits or back-offs. */
  private _refuseBlocked(request: CallerRequest, service: string): void {
    const waiting = this._queue.getWaiting(service);
    const retryAfterMs = this.context.forecast.getRetryAfterMs(service, waiting);
    const reason = this.context.forecast.getBlockReason(service);
    this.context.log.warn("request-limited", {
      requestId: request.id,
      service,
      reason,
      waiting,
      retryAfterMs: Math.round(retryAfterMs),
      permitsPerSecond: this.context.demand.getPermitsPerSecond(service),
      limits: this.context.forecast.describeBlocks(service),
    });
    request.refuse(503, reason, retryAfterMs);
  }

  private async _send(request: CallerRequest, endpoint: Endpoint, permit: SendPermit): Promise<SendOutcome> {
    const remainingMs = request.getRemainingMs();
    const mayResend = request.route.kind === "safe" && request.attempts + 1 < request.route.maxAttempts;
    const headTimeoutMs = mayResend
      ? Math.min(remainingMs, request.route.targetLatencyMs * resendAfterShare)
      : remainingMs;
    const isFresh = request.route.kind !== "safe" || request.attempts > 0;
    endpoint.addOwnLoad(1, 0);
    request.attempts += 1;
    const sentAtMs = utils.monotonicMs();
    const result = await this.context.httpClient.fetch(
      this.createCall(request, endpoint, { headTimeoutMs, isFresh }),
      maxAnswerBytes,
      Math.max(1, remainingMs),
    );
    endpoint.addOwnLoad(-1, 0);
    if (result.err && result.val instanceof errors.NotReachedError) permit.release();
    if (result.err && result.val instanceof errors.ConnectionLostError)
      endpoint.circuitBreaker.noteFailed(sentAtMs, utils.monotonicMs());
    return this._classify(request, endpoint, result, sentAtMs);
  }

  private _classify(
    request: CallerRequest,
    endpoint: Endpoint,
    result: results.Result<BufferedAnswer, CallError>,
    sentAtMs: number,
  ): SendOutcome {
    if (result.err) {
      if (result.val instanceof errors.ConnectionLostError) return { kind: "lost", error: result.val.code };
      if (!(result.val instanceof errors.NotReachedError)) return { kind: "unknown", error: result.val.code };
      request.attempts -= 1;
      this.context.failureDetector.noteUnresponsive(endpoint.id, result.val.code);
      return { kind: "not-run", error: result.val.code };
    }
    const fields = this.context.codec.decodeAnswer(result.val.headers);
    const { status } = result.val;
    this.context.statements.noteAnswer(endpoint, { status, stated: fields.stated, sentAtMs });
    if (fields.hasNotRun || status >= failureStatus)
      endpoint.circuitBreaker.noteFailed(sentAtMs, utils.monotonicMs());
    else endpoint.noteAnswered(sentAtMs);
    if (fields.hasNotRun) return { kind: "not-run", error: `status ${status}` };
    if (fields.requestId !== request.fields.requestId)
      return { kind: "unknown", error: "answer of another request" };
    if (fields.isEncoded) return { kind: "unknown", error: "encoded body" };
    return { kind: "answer", answer: result.val };
  }

  private _logFailedSend(request: CallerRequest, endpoint: Endpoint, outcome: SendOutcome): void {
    this.context.log.warn("request-send-failed", {
      requestId: request.id,
      digest: request.digest,
      endpointId: endpoint.id,
      outcome: outcome.kind,
      cause: outcome.kind === "answer" ? `status ${outcome.answer.status}` : outcome.error,
      attempts: request.attempts,
      remainingMs: Math.round(request.getRemainingMs()),
    });
  }
}

/**
 * Returns whether the request has not been sent yet and may be sent again whatever its outcome. Only such a request probes an endpoint
 * that may still be failing; its retry does not.
 */
function hasRetryLeft(request: CallerRequest): boolean {
  return request.isIdempotent && request.attempts === 0 && request.route.maxAttempts > 1;
}

/** Returns whether an answer is a failure of the endpoint itself that an idempotent request may retry. */
function isRetryable(request: CallerRequest, status: number): boolean {
  return request.isIdempotent && status >= failureStatus;
}
