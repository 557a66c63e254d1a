/** Forwarder of streamed requests, which run at chains of engines. */
import { errors, utils } from "@shedtiller/common";
import type { ChainAdmission, FirstEventTarget } from "../chains/ChainAdmission.js";
import { describeChain } from "../chains/describeChain.js";
import { findNamedEndpoint } from "../chains/findNamedEndpoint.js";
import { estimateTokens } from "../chains/estimateTokens.js";
import type { ChainReservation } from "../chains/ChainReservation.js";
import { getEvidence } from "../discovery/SuspicionEvidence.js";
import type { HttpAnswer } from "../http/HttpCall.js";
import { readBody } from "../http/readBody.js";
import type { CallerRequest } from "./CallerRequest.js";
import { isReturn, refuseAtGates } from "./refuseAtGates.js";
import { failureStatus, RequestForwarder, type ForwardContext } from "./RequestForwarder.js";
import type { StallMonitor } from "./StallMonitor.js";
import { StreamAttempt } from "./StreamAttempt.js";
import { StreamProgress } from "./StreamProgress.js";
import { StreamRefusals, type StreamRefusal } from "./StreamRefusals.js";

/** Maximum time in the queue for capacity. Callers abandon a stream that is silent for two seconds. */
const maxQueueMs = 1_500;
const maxErrorBytes = 1024 * 1024;
const successStatus = 200;
/**
 * Status of a rejection by an engine that has not loaded its layers of the chain, or is not the intended engine (RFC 9110,
 * section 15.5.20).
 */
const misdirectedStatus = 421;

/** Priority of a stream that has begun, ahead of the most urgent priority of a route or an account, which is 0. */
const resumedPriority = -1;
/** A rejection after this time results from a stalled chain: engines without capacity reject immediately. */
const stalledRefusalMs = 1_000;

/** Weight of past attempts in the moving average of the time to the first event. */
const firstEventSmoothing = 16;
/** Time to the first event before any stream has run: the prefill time at a chain of medium accelerators. */
const initialFirstEventMs = 100;

/** By crash risk: whether the first engine must be redundant, so that its zone has the first layers at another engine after a crash. */
const redundancyByRisk = { none: undefined, some: "preferred", high: "required" } as const;

/**
 * Result of one attempt. `again` means that nothing was sent: while the request waited for capacity, its first engine disappeared or the
 * request was quarantined.
 */
type AttemptEnd = "answered" | "again" | "not-run" | "lost" | "caller-left";

/** Forwards streams. Each attempt reserves capacity at its chain; a lost stream resumes after the last event that was forwarded. */
export class StreamForwarder extends RequestForwarder {
  /** Moving average of the time from the send to the first event. */
  private _meanFirstEventMs = initialFirstEventMs;
  private readonly _refusals: StreamRefusals;

  constructor(
    context: ForwardContext,
    private readonly _admission: ChainAdmission,
    private readonly _monitor: StallMonitor,
  ) {
    super(context);
    this._refusals = new StreamRefusals(context, _admission);
  }

  async run(request: CallerRequest, service: string): Promise<void> {
    const progress = new StreamProgress(request.fields.lastEventId);
    const timer = setTimeout(
      () => this._endAtDeadline(request, service),
      Math.max(0, request.getRemainingMs()),
    );
    progress.passesLevel = isReturn(this.context, request, service);
    if (!refuseAtGates(this.context, request, service)) await this._runAttempts(request, service, progress);
    clearTimeout(timer);
    request.details = progress.toLogFields(request.route);
  }

  /** Runs attempts one after the other until the request is answered or may not be sent again. */
  private async _runAttempts(
    request: CallerRequest,
    service: string,
    progress: StreamProgress,
  ): Promise<void> {
    let hasRun = false;
    while (!request.isAnswered && !request.signal.aborted) {
      if (await this.refuseIfQuarantined(request, hasRun)) return;
      if (request.signal.aborted) return;
      const end = await this._runAttempt(request, service, progress);
      if (end === undefined) {
        return this._refuse(request, service, hasRun, this._getNoChainReason(request, service, progress));
      }
      if (end === "answered" || end === "caller-left") return;
      if (end === "lost") hasRun = progress.passesLevel = true;
      const mayRepeat = !hasRun || request.isIdempotent;
      const isUnsent = request.attempts === 0;
      if (mayRepeat && (isUnsent || this.tryWithdrawRetry(request, service))) continue;
      this._refuse(request, service, hasRun, hasRun ? "outcome-unknown" : "not-run");
    }
  }

  /** Returns the reason for which the request got no chain. */
  private _getNoChainReason(
    request: CallerRequest,
    service: string,
    { passesLevel }: StreamProgress,
  ): StreamRefusal {
    const { forecast, crashes } = this.context;
    const target = getFirstEventTarget(request, passesLevel);
    if (this._admission.isBehindLevel({ service, priority: request.priority, target })) return "less-urgent";
    if (crashes.getRisk(request) === "high") return "held-back";
    if (!this._admission.hasEndpoints(service)) return "no-endpoint";
    return forecast.isBlocked(service) ? forecast.getBlockReason(service) : "no-room";
  }

  /** Runs one attempt; returns undefined if the request got no chain. */
  private async _runAttempt(
    request: CallerRequest,
    service: string,
    progress: StreamProgress,
  ): Promise<AttemptEnd | undefined> {
    const queuedAtMs = utils.monotonicMs();
    const reservation = await this._acquire(request, service, progress);
    progress.queuedMs += utils.monotonicMs() - queuedAtMs;
    if (reservation === undefined) return request.signal.aborted ? "caller-left" : undefined;
    const attempt = new StreamAttempt(request, service, reservation, progress);
    progress.chain = describeChain(reservation.stages);
    if (request.attempts > 0) this.context.restarts.notePlaced(reservation.stages);
    this._monitor.add(attempt);
    try {
      return await this._send(attempt);
    } finally {
      this.context.crashes.end(attempt);
      this._monitor.remove(attempt);
      reservation.release();
      this._admission.noteReleased();
    }
  }

  private _acquire(
    request: CallerRequest,
    service: string,
    { refusedBy, passesLevel }: StreamProgress,
  ): Promise<ChainReservation | undefined> {
    const avoided = this._getAvoidedAddresses(request, refusedBy);
    const risk = this.context.crashes.getRisk(request);
    // A request that may have crashed an engine is not spread over others.
    const isRestart = request.attempts > 0 && risk === "none";
    const target = getFirstEventTarget(request, passesLevel);
    return this._admission.acquire({
      service,
      demand: {
        ...estimateTokens(request.fields),
        availabilityZone: this.context.availabilityZone,
        targetLatencyMs: target?.targetLatencyMs,
        refusedBy: avoided,
        isRandomized: isRestart,
        assumedRestarts: isRestart ? this.context.restarts.getAssumed() : undefined,
        redundantFirstEngine: redundancyByRisk[risk],
      },
      // A stream that has begun goes first, since its caller already waits for the next event.
      priority: request.isHeadSent ? resumedPriority : request.priority,
      maxWaitMs: Math.max(0, Math.min(maxQueueMs, request.getRemainingMs())),
      latestStartAtMs: this._getLatestStartAtMs(request),
      target,
      signal: request.signal,
    });
  }

  /**
   * Returns the addresses of the engines that the request avoids if possible: those that rejected the request and, for a request that may
   * have crashed an engine, those that run other such requests.
   */
  private _getAvoidedAddresses(request: CallerRequest, refusedBy: ReadonlySet<string>): ReadonlySet<string> {
    const { crashes, endpoints } = this.context;
    if (crashes.isQuiet) return refusedBy;
    const addresses = crashes
      .getAvoidedEndpointIds(request)
      .flatMap((id) => endpoints.get(id)?.listed.address ?? []);
    return addresses.length === 0 ? refusedBy : new Set([...refusedBy, ...addresses]);
  }

  /**
   * Returns the latest monotonic time of a start at which the first event is expected within the target latency; infinite for a stream
   * that has begun, since its first event has been forwarded.
   */
  private _getLatestStartAtMs(request: CallerRequest): number {
    if (request.isHeadSent) return Number.POSITIVE_INFINITY;
    return request.arrivedAtMs + request.route.targetLatencyMs - this._meanFirstEventMs;
  }

  private async _send(attempt: StreamAttempt): Promise<AttemptEnd> {
    const { request, firstStage } = attempt;
    const first = firstStage === undefined ? undefined : this.context.endpoints.get(firstStage.endpointId);
    // While the request waited for capacity, an identical one may have crashed engines, or its caller may have left.
    const isQuarantined = this.context.crashes.getQuarantineMs(request) !== undefined;
    if (first === undefined || isQuarantined || request.signal.aborted) {
      attempt.reservation.permit?.release();
      return "again";
    }
    request.attempts += 1;
    attempt.noteSent();
    attempt.firstEndpoint = first;
    attempt.onFirstEvent = () => void this.context.crashes.noteFirstEvent(attempt);
    this.context.crashes.begin(attempt);
    const sent = await this.context.httpClient.send(
      this.createCall(request, first, {
        headTimeoutMs: Math.max(1, request.getRemainingMs()),
        isFresh: !request.isIdempotent || request.attempts > 1,
        lastEventId: attempt.progress.lastEventId,
        chain: attempt.reservation.stages,
        signal: attempt.abort.signal,
        onConnected: (path) => {
          attempt.isDirect = path === undefined;
        },
      }),
    );
    if (sent.ok) return this._handleAnswer(attempt, sent.val);
    if (request.signal.aborted) return "caller-left";
    this._logFailedRun(attempt, sent.val.code);
    if (sent.val instanceof errors.ConnectionLostError)
      first.circuitBreaker.noteFailed(attempt.sentAtMs, utils.monotonicMs());
    if (sent.val instanceof errors.ConnectionLostError || attempt.abort.signal.aborted)
      void this.context.crashes.noteLost(attempt, first);
    if (!(sent.val instanceof errors.NotReachedError)) return "lost";
    request.attempts -= 1;
    attempt.reservation.permit?.release();
    this.context.failureDetector.noteUnresponsive(
      first.id,
      sent.val.code,
      getEvidence(sent.val),
      attempt.sentAtMs,
    );
    return "not-run";
  }

  private async _handleAnswer(attempt: StreamAttempt, answer: HttpAnswer): Promise<AttemptEnd> {
    const { request } = attempt;
    const fields = this.context.codec.decodeAnswer(answer.headers);
    if (attempt.firstEndpoint !== undefined)
      this.context.statements.noteAnswer(attempt.firstEndpoint, {
        status: answer.status,
        stated: fields.stated,
        sentAtMs: attempt.sentAtMs,
      });
    if (fields.hasNotRun) return this._handleRefusal(attempt, answer, fields.faultyAddress);
    if (answer.status < failureStatus) attempt.firstEndpoint?.noteAnswered(attempt.sentAtMs);
    else attempt.firstEndpoint?.circuitBreaker.noteFailed(attempt.sentAtMs, utils.monotonicMs());
    if (fields.requestId !== request.fields.requestId || fields.isEncoded) {
      answer.abort();
      this._logFailedRun(attempt, "answer of another request");
      return "lost";
    }
    if (answer.status !== successStatus) return this._forwardFailure(attempt, answer);
    if (!request.isHeadSent) request.startStream(answer.status, answer.headers);
    const end = await attempt.relay(answer);
    this._noteFirstEvent(attempt);
    if (end === "caller-left") return "caller-left";
    if (end === "completed") {
      request.finish();
      this._noteCompleted(attempt);
      return "answered";
    }
    this._logFailedRun(attempt, "stream broken off");
    // An attempt that this instance aborted may have lost its engine as well: peers report a loss before its connection ends here.
    if (attempt.firstEndpoint !== undefined)
      void this.context.crashes.noteLost(attempt, attempt.firstEndpoint);
    return "lost";
  }

  private _noteCompleted(attempt: StreamAttempt): void {
    const { request, firstEndpoint } = attempt;
    if (firstEndpoint !== undefined)
      this.context.crashes.noteCompleted(request.route.kind, request, attempt, firstEndpoint);
  }

  private _noteFirstEvent(attempt: StreamAttempt): void {
    if (attempt.firstEventMs === undefined) return;
    this._meanFirstEventMs += (attempt.firstEventMs - this._meanFirstEventMs) / firstEventSmoothing;
  }

  /**
   * Handles the rejection of a request that was not executed.
   *
   * An engine that rejects immediately lacks memory or is unloading the layers. For a short time neither this instance nor its peers
   * put more than the current load on that engine; without the report to the peers, each of them would be rejected as well. At 1.5 times
   * the requests that a zone can handle, 3 in 100 sends are rejected with the report and 24 in 100 without it (see
   * `ChainChoosingFleetTests`).
   *
   * A rejection after a long wait names an engine that does not respond, so that engine is reported to the failure detector.
   */
  private _handleRefusal(
    attempt: StreamAttempt,
    answer: HttpAnswer,
    faultyAddress: string | undefined,
  ): AttemptEnd {
    answer.message.resume();
    // A rejected request is no load on its engines.
    attempt.reservation.release();
    const nowMs = utils.monotonicMs();
    const address = faultyAddress ?? attempt.firstStage?.address ?? "";
    attempt.progress.refusedBy.add(address);
    const faulty = findNamedEndpoint(this.context.endpoints, attempt.reservation.stages, address);
    const waitedMs = nowMs - attempt.lastActivityAtMs;
    if (faulty !== undefined && waitedMs >= stalledRefusalMs)
      void this.context.failureDetector.noteReportedFaulty(faulty.id, `refusal ${answer.status}`);
    else if (faulty?.noteFull(nowMs) === true) this.context.broadcastFull(faulty.id);
    if (faulty !== undefined && answer.status === misdirectedStatus)
      void this.context.failureDetector.noteLayersMissing(faulty.id);
    this._logFailedRun(attempt, `refusal ${answer.status} for ${address} after ${Math.round(waitedMs)} ms`);
    return "not-run";
  }

  /** Handles an answer with an error status: forwards it, unless the request may be retried. */
  private async _forwardFailure(attempt: StreamAttempt, answer: HttpAnswer): Promise<AttemptEnd> {
    const { request } = attempt;
    const address = attempt.firstStage?.address ?? "";
    const body = await readBody(answer, address, maxErrorBytes, Math.max(1, request.getRemainingMs()));
    this._logFailedRun(attempt, `status ${answer.status}`);
    if (body.err || request.isHeadSent) return "lost";
    if (
      request.isIdempotent &&
      answer.status >= failureStatus &&
      request.attempts < request.route.maxAttempts
    )
      return "lost";
    request.answer(answer.status, answer.headers, body.val);
    return "answered";
  }

  private _refuse(request: CallerRequest, service: string, hasRun: boolean, reason: StreamRefusal): void {
    if (request.isAnswered) return;
    if (hasRun || request.isHeadSent) return request.refuse(502, "outcome-unknown");
    this._refusals.refuse(request, service, reason);
  }

  private _endAtDeadline(request: CallerRequest, service: string): void {
    if (request.attempts === 0) request.refuse(503, "no-room", this._admission.getRetryAfterMs(service));
    else request.refuse(504, "out-of-time");
  }

  private _logFailedRun(attempt: StreamAttempt, cause: string): void {
    const { request, progress, reservation } = attempt;
    this.context.log.warn("stream-run-failed", {
      requestId: request.id,
      digest: request.digest,
      promptPartIds: request.fields.promptPartIds,
      cause,
      chain: describeChain(reservation.stages),
      sinceSentMs: Math.round(utils.monotonicMs() - attempt.sentAtMs),
      hasBegun: attempt.hasBegun,
      hasEvents: attempt.hasEvents,
      events: progress.events,
      lastEventId: progress.lastEventId,
      attempts: request.attempts,
      remainingMs: Math.round(request.getRemainingMs()),
    });
  }
}

/** Returns when the first event is due; undefined for a stream that has begun, here or at another instance. */
function getFirstEventTarget(request: CallerRequest, passesLevel: boolean): FirstEventTarget | undefined {
  if (request.isHeadSent || request.fields.lastEventId !== undefined) return undefined;
  const { targetLatencyMs } = request.route;
  const dueAtMs = request.arrivedAtMs + targetLatencyMs;
  return { targetLatencyMs, dueAtMs, accountName: request.account?.name, passesLevel };
}
