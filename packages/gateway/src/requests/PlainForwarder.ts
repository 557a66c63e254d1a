/** Forwards requests whose answer is passed on whole. */
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
/** When to come back after a refusal: about one service time of a plain request. */
const retryAfterMs = 100;
/** A safe request is sent again after this share of its target latency without an answer. */
const secondSendShare = 0.55;
/** Least time for a send to be worth it: a tenth of a usual plain request. */
const minSendMs = 10;

/** What came of one send. */
type SendOutcome =
  | { readonly kind: "answer"; readonly answer: BufferedAnswer }
  | { readonly kind: "not-run"; readonly error: string }
  | { readonly kind: "unknown"; readonly error: string }
  /** The endpoint ended the connection. */
  | { readonly kind: "lost"; readonly error: string };

/** Where a request goes, and the right to send it there. */
interface PlainChoice {
  readonly endpoint: Endpoint;
  readonly permit: SendPermit;
}

/** Plain requests: safe ones may be sent again, others only if they provably did not run. */
export class PlainForwarder extends RequestForwarder {
  constructor(
    context: ForwardContext,
    private readonly _queue: PermitQueue,
  ) {
    super(context);
  }

  async run(request: CallerRequest, service: string): Promise<void> {
    const tried = new Set<string>();
    let last: BufferedAnswer | undefined;
    let hasRun = false;
    for (;;) {
      if (await this.endIfHeldBack(request, hasRun)) return;
      if (request.getRemainingMs() < minSendMs) break;
      const choice = await this._choose(request, service, tried, last === undefined);
      if (request.signal.aborted) return choice?.permit.release();
      if (choice === undefined) break;
      const { endpoint, permit } = choice;
      if (!this._mayBeSentNow(request)) {
        permit.release();
        continue;
      }
      tried.add(endpoint.id);
      const run = { request, endpointId: endpoint.id, hasBegun: true, firstEventAtMs: undefined };
      this.context.crashes.begin(run);
      const outcome = await this._send(request, endpoint, permit);
      this.context.crashes.end(run);
      if (outcome.kind === "answer")
        this.context.crashes.noteCompleted(request.route.kind, request, run, endpoint);
      if (outcome.kind === "lost") void this.context.crashes.noteLost(run, endpoint);
      if (request.signal.aborted) return;
      if (outcome.kind === "answer" && !isWorthAnother(request, outcome.answer.status)) {
        return request.answer(outcome.answer.status, outcome.answer.headers, outcome.answer.body);
      }
      if (outcome.kind === "answer") last = outcome.answer;
      if (outcome.kind !== "not-run") hasRun = true;
      this._note(request, endpoint, outcome);
      const mayRepeat = request.isIdempotent || !hasRun;
      if (!mayRepeat || (request.attempts > 0 && !this.mayRetry(request, service))) break;
    }
    this._end(request, service, last, hasRun);
  }

  /** It may have waited until its time was over, or an equal request had crashed endpoints. */
  private _mayBeSentNow(request: CallerRequest): boolean {
    const isHeldBack = this.context.crashes.getQuarantineMs(request) !== undefined;
    return !isHeldBack && request.getRemainingMs() >= minSendMs;
  }

  /** Takes an endpoint with a permit, waiting for one where only limits stand in the way and there is no answer yet. */
  private async _choose(
    request: CallerRequest,
    service: string,
    tried: ReadonlySet<string>,
    mayWait: boolean,
  ): Promise<PlainChoice | undefined> {
    return this._queue.acquire({
      service,
      priority: request.priority,
      accountName: request.account?.name,
      patienceMs: mayWait && this._isLimited(service, tried) ? request.getRemainingMs() - minSendMs : 0,
      signal: request.signal,
      tryTake: () => this._tryTake(request, service, tried),
    });
  }

  private _tryTake(
    request: CallerRequest,
    service: string,
    tried: ReadonlySet<string>,
  ): PlainChoice | undefined {
    const endpoint = this._pick(request, service, tried);
    const permit = endpoint?.tryTakePermit(utils.monotonicMs());
    return endpoint === undefined || permit === undefined ? undefined : { endpoint, permit };
  }

  /** Whether an endpoint that was not tried yet has had what its limit allows. */
  private _isLimited(service: string, tried: ReadonlySet<string>): boolean {
    const nowMs = utils.monotonicMs();
    const untried = this.context.endpoints.getUsable(service).filter(({ id }) => !tried.has(id));
    return untried.some((endpoint) => !endpoint.hasPermit(nowMs));
  }

  /** The least loaded endpoint; for a request that may have crashed one, first where no other such request is. */
  private _pick(request: CallerRequest, service: string, tried: ReadonlySet<string>): Endpoint | undefined {
    const nowMs = utils.monotonicMs();
    const shunned = this.context.crashes.getAvoidedEndpointIds(request);
    const mayProbe = mayStillRetry(request);
    const pick = (passedOver: ReadonlySet<string>): Endpoint | undefined =>
      pickPlainEndpoint(this.context, { service, tried: passedOver, mayProbe }, nowMs);
    const apart = shunned.length === 0 ? undefined : pick(new Set([...tried, ...shunned]));
    return apart ?? pick(tried);
  }

  private _end(
    request: CallerRequest,
    service: string,
    last: BufferedAnswer | undefined,
    hasRun: boolean,
  ): void {
    if (last !== undefined) return request.answer(last.status, last.headers, last.body);
    if (!hasRun && this.context.forecast.isHeldUp(service)) return this._refuseHeldUp(request, service);
    if (!hasRun && request.attempts === 0) return request.refuse(503, "no-endpoint", noEndpointRetryAfterMs);
    if (!hasRun) return request.refuse(503, "not-run", retryAfterMs);
    if (request.getRemainingMs() <= 0) return request.refuse(504, "out-of-time");
    request.refuse(502, "outcome-unknown");
  }

  /** Limits, or rests that were asked for, keep all endpoints from taking it in time. */
  private _refuseHeldUp(request: CallerRequest, service: string): void {
    const waiting = this._queue.getWaiting(service);
    const retryAfterMs = this.context.forecast.getRetryAfterMs(service, waiting);
    const reason = this.context.forecast.getReason(service);
    this.context.log.warn("request-limited", {
      requestId: request.id,
      service,
      reason,
      waiting,
      retryAfterMs: Math.round(retryAfterMs),
      permitsPerSecond: this.context.demand.getPermitsPerSecond(service),
      limits: this.context.forecast.describe(service),
    });
    request.refuse(503, reason, retryAfterMs);
  }

  private async _send(request: CallerRequest, endpoint: Endpoint, permit: SendPermit): Promise<SendOutcome> {
    const remainingMs = request.getRemainingMs();
    const isSecondPossible =
      request.route.kind === "safe" && request.attempts + 1 < request.route.maxAttempts;
    const patienceMs = isSecondPossible
      ? Math.min(remainingMs, request.route.targetLatencyMs * secondSendShare)
      : remainingMs;
    const isFresh = request.route.kind !== "safe" || request.attempts > 0;
    endpoint.addOwn(1, 0);
    request.attempts += 1;
    const sentAtMs = utils.monotonicMs();
    const result = await this.context.httpClient.fetch(
      this.createCall(request, endpoint, { headTimeoutMs: patienceMs, isFresh }),
      maxAnswerBytes,
      Math.max(1, remainingMs),
    );
    endpoint.addOwn(-1, 0);
    if (result.err && result.val instanceof errors.NotReachedError) permit.release();
    if (result.err && result.val instanceof errors.ConnectionLostError)
      endpoint.circuitBreaker.noteFailed(sentAtMs, utils.monotonicMs());
    return this._judge(request, endpoint, result, sentAtMs);
  }

  private _judge(
    request: CallerRequest,
    endpoint: Endpoint,
    result: results.Result<BufferedAnswer, CallError>,
    sentAtMs: number,
  ): SendOutcome {
    if (result.err) {
      if (result.val instanceof errors.ConnectionLostError) return { kind: "lost", error: result.val.code };
      if (!(result.val instanceof errors.NotReachedError)) return { kind: "unknown", error: result.val.code };
      request.attempts -= 1;
      this.context.suspicions.noteSilent(endpoint.id, result.val.code);
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

  private _note(request: CallerRequest, endpoint: Endpoint, outcome: SendOutcome): void {
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

/** A request that was not sent yet, and may be sent again whatever comes of it. Its second chance is not spent on another doubtful endpoint. */
function mayStillRetry(request: CallerRequest): boolean {
  return request.isIdempotent && request.attempts === 0 && request.route.maxAttempts > 1;
}

/** A safe request is tried once more after a failure of the endpoint itself. */
function isWorthAnother(request: CallerRequest, status: number): boolean {
  return request.isIdempotent && status >= failureStatus;
}
