/** Forwarder of plain requests, whose answers are buffered and forwarded as a whole. */
import { errors, utils, type results } from "@shedtiller/common";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { SendPermit } from "../discovery/SendPermit.js";
import { isUnsent, type CallError, type BufferedAnswer } from "../http/HttpCall.js";
import type { EndpointConcurrency } from "../loadcontrol/EndpointConcurrency.js";
import type { CallerRequest } from "./CallerRequest.js";
import { pickPlainEndpoint } from "./pickPlainEndpoint.js";
import type { PermitQueue } from "./PermitQueue.js";
import { hedge } from "./plain/hedge.js";
import { toSendResult, type SendOutcome } from "./plain/SendOutcome.js";
import {
  connectTimeoutMs,
  failureStatus,
  isEndless,
  noEndpointRetryAfterMs,
  RequestForwarder,
  type ForwardContext,
} from "./RequestForwarder.js";

const maxAnswerBytes = 16 * 1024 * 1024;
/** Time that a body has at least after its headers until its absence counts against the endpoint; callers may have very short deadlines. */
const minBodyMs = 250;
/** Retry-After of a request that was not executed: about the service time of a plain request. */
const retryAfterMs = 100;
/** Share of the target latency after which a safe request without an answer is sent to another endpoint as well, if no usual time is known. */
const hedgeAfterShare = 0.55;
/**
 * Share of the target latency after which an unestablished connection is abandoned for another endpoint. Nothing was sent, so that also a
 * request that may run only once can still be answered in time there.
 */
const connectShare = 0.4;
/** Minimum time for a connection: many round trips, and pauses of a busy instance. */
const minConnectMs = 50;
/** Minimum remaining time for a send: a tenth of the time that a plain request usually takes. */
const minSendMs = 10;

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
    this._getConcurrency(service)?.records.noteArrival(service);
    const excluded = new Set<string>();
    let lastAnswer: BufferedAnswer | undefined;
    let hasRun = false;
    for (;;) {
      if (await this.refuseIfQuarantined(request, hasRun)) return;
      if (request.signal.aborted) return;
      if (request.getRemainingMs() < minSendMs) break;
      const choice = await this._choose(request, service, excluded, lastAnswer === undefined);
      if (request.signal.aborted) return choice?.permit.release();
      if (choice === undefined) break;
      if (!this._mayBeSentNow(request)) {
        choice.permit.release();
        continue;
      }
      const outcome = await this._sendOrHedge(request, service, choice, excluded);
      if (request.signal.aborted) return;
      const answer = getFinalAnswer(request, outcome);
      if (answer !== undefined) return request.answer(answer.status, answer.headers, answer.body);
      if (outcome.kind === "answer") lastAnswer = outcome.answer;
      if (outcome.kind !== "not-run") hasRun = true;
      const mayRepeat = request.isIdempotent || !hasRun;
      if (mayRepeat && request.attempts === 0) continue;
      const obstacle = mayRepeat ? this.reserveRetry(request, service) : "runs-once";
      if (obstacle === undefined) continue;
      this.context.log.warn("request-not-retried", { requestId: request.id, obstacle, hasRun });
      break;
    }
    this._end(request, service, lastAnswer, hasRun);
  }

  /** Returns the concurrency of the service's endpoints, or undefined while requests go to the endpoint with the fewest requests. */
  private _getConcurrency(service: string): EndpointConcurrency | undefined {
    const { concurrency } = this.context.controls;
    return concurrency?.isInEffect(service) === true ? concurrency : undefined;
  }

  /**
   * Sends the request. While the answer to a safe request is late, sends it to another endpoint as well, and returns the first answer that
   * is no failure.
   */
  private _sendOrHedge(
    request: CallerRequest,
    service: string,
    choice: PlainChoice,
    excluded: Set<string>,
  ): Promise<SendOutcome> {
    excluded.add(choice.endpoint.id);
    const concurrency = this._getConcurrency(service);
    if (request.route.kind !== "safe" || !hasRetryLeft(request))
      return this._track(request, choice, concurrency, request.signal);
    const defaultMs = request.route.targetLatencyMs * hedgeAfterShare;
    return hedge({
      lateAfterMs: concurrency?.getHedgeAfterMs(service, defaultMs) ?? defaultMs,
      signal: request.signal,
      start: (signal) => this._track(request, choice, concurrency, signal),
      startSecond: () => {
        const second = this._chooseSecond(request, service, excluded);
        if (second === undefined) return undefined;
        this.context.log.info("request-hedged", { requestId: request.id, endpointId: second.endpoint.id });
        return (signal) => this._track(request, second, concurrency, signal);
      },
      isFinal: (outcome) => getFinalAnswer(request, outcome) !== undefined,
    });
  }

  /** Chooses the endpoint of a hedge; undefined if there is none with room or the retry budget is exhausted. */
  private _chooseSecond(
    request: CallerRequest,
    service: string,
    excluded: Set<string>,
  ): PlainChoice | undefined {
    if (!this._mayBeSentNow(request)) return undefined;
    const second = this._tryAcquire(request, service, excluded);
    if (second === undefined) return undefined;
    if (this.withdrawRetry(request, service) !== undefined) {
      second.permit.release();
      return undefined;
    }
    excluded.add(second.endpoint.id);
    this.context.controls.concurrency?.noteHedge(service);
    return second;
  }

  /** Sends the request, and reports its result to the crash detector and to the records of the endpoint. */
  private async _track(
    request: CallerRequest,
    choice: PlainChoice,
    concurrency: EndpointConcurrency | undefined,
    signal: AbortSignal,
  ): Promise<SendOutcome> {
    const { endpoint } = choice;
    const isWanted = (await request.confirmCaller()) && !signal.aborted;
    if (!isWanted || !this._mayBeSentNow(request)) {
      choice.permit.release();
      return { kind: "not-run", error: "given up before the send" };
    }
    const run = { request, endpointId: endpoint.id, hasBegun: true, firstEventAtMs: undefined };
    const send = concurrency?.begin(endpoint);
    this.context.crashes.begin(run);
    const connectMs = concurrency === undefined ? connectTimeoutMs : getConnectMs(request);
    const outcome = await this._send(request, choice, signal, connectMs);
    this.context.crashes.end(run);
    if (send !== undefined) concurrency?.records.end(send, toSendResult(outcome));
    if (outcome.kind === "answer")
      this.context.crashes.noteCompleted(request.route.kind, request, run, endpoint);
    if (outcome.kind === "lost") void this.context.crashes.noteLost(run, endpoint);
    if (!signal.aborted && getFinalAnswer(request, outcome) === undefined)
      this._logFailedSend(request, endpoint, outcome);
    this._queue.serve(endpoint.listed.service);
    return outcome;
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
    const concurrency = this._getConcurrency(service);
    const mayWaitForEndpoint = mayWait && this._lacksEndpoint(service, excluded, concurrency !== undefined);
    return this._queue.acquire({
      service,
      priority: request.priority,
      accountName: request.account?.name,
      maxWaitMs: mayWaitForEndpoint ? request.getRemainingMs() - minSendMs : 0,
      signal: request.signal,
      tryAcquire: () => this._tryAcquire(request, service, excluded),
      getWaitMs: (ahead) => concurrency?.getExpectedMs(service, ahead) ?? 0,
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

  /** Returns whether an endpoint that is not excluded has no permit now, or may have no room. */
  private _lacksEndpoint(service: string, excluded: ReadonlySet<string>, mayBeFull: boolean): boolean {
    const nowMs = utils.monotonicMs();
    const candidates = this.context.endpoints.getUsable(service).filter(({ id }) => !excluded.has(id));
    return candidates.some((endpoint) => mayBeFull || !endpoint.hasPermit(nowMs));
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
    const concurrency = this._getConcurrency(service);
    const { isIdempotent } = request;
    const pick = (excludedIds: ReadonlySet<string>): Endpoint | undefined =>
      concurrency === undefined
        ? pickPlainEndpoint(this.context, { service, excluded: excludedIds, mayProbe }, nowMs)
        : concurrency.pick({ service, excluded: excludedIds, mayProbe, isIdempotent });
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
    if (!hasRun && request.attempts === 0 && this._refuseFull(request, service)) return;
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

  /** Rejects a request that no endpoint can answer in time, since others are ahead of it; returns whether that is the reason. */
  private _refuseFull(request: CallerRequest, service: string): boolean {
    const concurrency = this._getConcurrency(service);
    if (concurrency === undefined) return false;
    const waiting = this._queue.getWaiting(service);
    const expectedMs = concurrency.getExpectedMs(service, waiting);
    this.context.log.warn("request-limited", {
      requestId: request.id,
      service,
      reason: "no-room",
      waiting,
      expectedMs: Math.round(expectedMs),
      remainingMs: Math.round(request.getRemainingMs()),
    });
    request.refuse(503, "no-room", Math.max(retryAfterMs, expectedMs));
    return true;
  }

  private async _send(
    request: CallerRequest,
    { endpoint, permit }: PlainChoice,
    signal: AbortSignal,
    connectMs: number,
  ): Promise<SendOutcome> {
    const headTimeoutMs = request.getRemainingMs();
    const isFresh = request.route.kind !== "safe" || request.attempts > 0;
    endpoint.addOwnLoad(1, 0);
    request.attempts += 1;
    const sentAtMs = utils.monotonicMs();
    let headAtMs = Number.POSITIVE_INFINITY;
    const result = await this.context.httpClient.fetchUntil(
      this.createCall(request, endpoint, { headTimeoutMs, isFresh, signal, connectTimeoutMs: connectMs }),
      maxAnswerBytes,
      request.dueAtMs,
      (head) => {
        headAtMs = utils.monotonicMs();
        // The body of a refusal says nothing more, and may not end.
        return !this.context.codec.decodeAnswer(head.headers).hasNotRun;
      },
    );
    endpoint.addOwnLoad(-1, 0);
    const isLate = utils.monotonicMs() - headAtMs >= minBodyMs;
    if (result.err && isEndless(result.val) && (isLate || !(result.val instanceof errors.DeadlineError)))
      this.noteEndless(request, endpoint, result.val, sentAtMs);
    if (result.err && isUnsent(result.val)) permit.release();
    const isLost = result.err && result.val instanceof errors.ConnectionLostError;
    const isAbandoned = result.err && isAbandonedConnection(result.val, sentAtMs, connectMs);
    if (isLost || isAbandoned) endpoint.circuitBreaker.noteFailed(sentAtMs, utils.monotonicMs());
    if (result.err && result.val instanceof errors.NotReachedError && !isAbandoned)
      this.context.failureDetector.noteUnresponsive(endpoint.id, result.val.code, "unanswered", sentAtMs);
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
      if (!isUnsent(result.val)) return { kind: "unknown", error: result.val.code };
      request.attempts -= 1;
      return { kind: "not-run", error: result.val.code };
    }
    const fields = this.context.codec.decodeAnswer(result.val.headers);
    const { status } = result.val;
    this.context.statements.noteAnswer(endpoint, { status, stated: fields.stated, sentAtMs });
    if (fields.hasNotRun || status >= failureStatus)
      endpoint.circuitBreaker.noteFailed(sentAtMs, utils.monotonicMs());
    else endpoint.noteAnswered(sentAtMs);
    if (!fields.hasNotRun) endpoint.circuitBreaker.noteProduced(sentAtMs);
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

/** Returns the answer for the caller; undefined if there is none, or a failure of the endpoint that an idempotent request may retry. */
function getFinalAnswer(request: CallerRequest, outcome: SendOutcome): BufferedAnswer | undefined {
  if (outcome.kind !== "answer") return undefined;
  const { answer } = outcome;
  return request.isIdempotent && answer.status >= failureStatus ? undefined : answer;
}

/** Returns the time to establish a connection, after which a request can still be answered in time by another endpoint. */
function getConnectMs({ route }: CallerRequest): number {
  return Math.min(connectTimeoutMs, Math.max(minConnectMs, route.targetLatencyMs * connectShare));
}

/** Returns whether a connection was abandoned before the usual time, which is no evidence that the endpoint is gone. */
function isAbandonedConnection(error: CallError, sentAtMs: number, connectMs: number): boolean {
  const tookMs = utils.monotonicMs() - sentAtMs;
  return error instanceof errors.NotReachedError && connectMs < connectTimeoutMs && tookMs >= connectMs;
}
