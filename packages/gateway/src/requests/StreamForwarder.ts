/** Forwards streamed requests through chains of engines, and goes on elsewhere when a chain fails. */
import { errors, utils } from "@shedtiller/common";
import { trialElsewhereRetryAfterMs } from "@shedtiller/crashes";
import type { ChainAdmission } from "../chains/ChainAdmission.js";
import { describeChain } from "../chains/describeChain.js";
import { describeFreeCapacity } from "../chains/describeFreeCapacity.js";
import { findNamedEndpoint } from "../chains/findNamedEndpoint.js";
import { expectTokens } from "../chains/expectTokens.js";
import type { ChainReservation } from "../chains/ChainReservation.js";
import type { HttpAnswer } from "../http/HttpCall.js";
import { readBody } from "../http/readBody.js";
import type { CallerRequest } from "./CallerRequest.js";
import {
  failureStatus,
  noEndpointRetryAfterMs,
  RequestForwarder,
  type ForwardContext,
} from "./RequestForwarder.js";
import type { StallMonitor } from "./StallMonitor.js";
import { StreamAttempt } from "./StreamAttempt.js";
import { StreamProgress } from "./StreamProgress.js";

/** Callers leave a stream that is silent for two seconds; waiting longer than this for room serves nobody. */
const longestQueueMs = 1_500;
const maxErrorBytes = 1024 * 1024;
const successStatus = 200;
/** The engine named does not hold its part of the chain, or is another one than was meant (RFC 9110, section 15.5.20). */
const notHeldStatus = 421;

/** Before the most urgent priority that a route or an account can have. */
const resumedPriority = -1;
/** A refusal later than this came from a stalled chain: engines refuse for want of room at once. */
const stalledRefusalMs = 1_000;

/**
 * When to come back after refusals of engines, with room elsewhere: well past the 5 ms in which the zone's instances learn which engine
 * is full, and early enough for an answer within a target of 500 ms. After half a second every such answer would be late.
 */
const notRunRetryAfterMs = 50;

/** The time until the first event is smoothed over about this many runs. */
const smoothedFirstEvents = 16;
/** Before any stream has run: the prompt's time at a chain of medium accelerators. */
const initialFirstEventMs = 100;

/** Which engines a request with that risk begins at. */
const sparesByRisk = { none: undefined, some: "rather", high: "only" } as const;

/** Why a stream was refused that did not run. */
type StreamRefusal =
  "no-room" | "held-back" | "no-endpoint" | "limited" | "resting" | "not-run" | "outcome-unknown";

/** What became of one attempt; `again` means that its first engine was gone before the sending. */
type AttemptEnd = "answered" | "again" | "not-run" | "lost" | "caller-left";

/** Streams: each run holds room at its chain; a lost run goes on after the last event that the caller has. */
export class StreamForwarder extends RequestForwarder {
  /** From the sending to the first event, as it was of late. */
  private _firstEventMs = initialFirstEventMs;

  constructor(
    context: ForwardContext,
    private readonly _admission: ChainAdmission,
    private readonly _monitor: StallMonitor,
  ) {
    super(context);
  }

  async run(request: CallerRequest, service: string): Promise<void> {
    const progress = new StreamProgress(request.fields.lastEventId);
    const timer = setTimeout(() => this._endLate(request, service), Math.max(0, request.getRemainingMs()));
    await this._tryUntilEnded(request, service, progress);
    clearTimeout(timer);
    request.details = progress.describe(request.route);
  }

  /** Runs the request at one chain after the other, until it is answered or may not be sent again. */
  private async _tryUntilEnded(
    request: CallerRequest,
    service: string,
    progress: StreamProgress,
  ): Promise<void> {
    let hasRun = false;
    while (!request.isAnswered && !request.signal.aborted) {
      if (await this.endIfHeldBack(request, hasRun)) return;
      const end = await this._tryOnce(request, service, progress);
      if (end === undefined) {
        return this._refuse(request, service, hasRun, this._getHindrance(request, service));
      }
      if (end === "answered" || end === "caller-left") return;
      if (end === "lost") hasRun = true;
      const mayRepeat = !hasRun || request.isIdempotent;
      const isFree = request.attempts === 0;
      if (mayRepeat && (isFree || this.mayRetry(request, service))) continue;
      this._refuse(request, service, hasRun, hasRun ? "outcome-unknown" : "not-run");
    }
  }

  /** Why there is no chain for a request. */
  private _getHindrance(request: CallerRequest, service: string): StreamRefusal {
    const { forecast, crashes } = this.context;
    if (crashes.getRisk(request) === "high") return "held-back";
    if (!this._admission.hasEndpoints(service)) return "no-endpoint";
    return forecast.isHeldUp(service) ? forecast.getReason(service) : "no-room";
  }

  private async _tryOnce(
    request: CallerRequest,
    service: string,
    progress: StreamProgress,
  ): Promise<AttemptEnd | undefined> {
    const askedAtMs = utils.monotonicMs();
    const reservation = await this._acquire(request, service, progress);
    progress.queuedMs += utils.monotonicMs() - askedAtMs;
    if (reservation === undefined) return request.signal.aborted ? "caller-left" : undefined;
    const attempt = new StreamAttempt(request, service, reservation, progress);
    progress.chain = describeChain(reservation.stages);
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
    { refusedBy }: StreamProgress,
  ): Promise<ChainReservation | undefined> {
    const avoided = this._getAvoided(request, refusedBy);
    return this._admission.acquire({
      service,
      demand: {
        ...expectTokens(request.fields),
        availabilityZone: this.context.availabilityZone,
        refusedBy: avoided,
        redundantFirstEngine: sparesByRisk[this.context.crashes.getRisk(request)],
      },
      // A stream that has begun goes first: its caller already waits for the rest.
      priority: request.isHeadSent ? resumedPriority : request.priority,
      maxWaitMs: Math.max(0, Math.min(longestQueueMs, request.getRemainingMs())),
      latestStartAtMs: this._getInTimeUntilMs(request),
      signal: request.signal,
    });
  }

  /** A request that may have crashed an engine goes where no other such request is, as far as there is a way. */
  private _getAvoided(request: CallerRequest, refusedBy: ReadonlySet<string>): ReadonlySet<string> {
    const { crashes, endpoints } = this.context;
    if (crashes.isQuiet) return refusedBy;
    const addresses = crashes
      .getAvoidedEndpointIds(request)
      .flatMap((id) => endpoints.get(id)?.listed.address ?? []);
    return addresses.length === 0 ? refusedBy : new Set([...refusedBy, ...addresses]);
  }

  /** Until when a chain lets the first event come in time; a stream that has begun can't become late by waiting here. */
  private _getInTimeUntilMs(request: CallerRequest): number {
    if (request.isHeadSent) return Number.POSITIVE_INFINITY;
    return request.arrivedAtMs + request.route.targetLatencyMs - this._firstEventMs;
  }

  private async _send(attempt: StreamAttempt): Promise<AttemptEnd> {
    const { request, firstStage } = attempt;
    const first = firstStage === undefined ? undefined : this.context.endpoints.get(firstStage.endpointId);
    // It may have waited for room while an equal request crashed engines.
    if (first === undefined || this.context.crashes.getQuarantineMs(request) !== undefined) {
      attempt.reservation.permit?.release();
      return "again";
    }
    request.attempts += 1;
    attempt.noteSent();
    attempt.firstEndpoint = first;
    this.context.crashes.begin(attempt);
    const sent = await this.context.httpClient.send(
      this.createCall(request, first, {
        headTimeoutMs: Math.max(1, request.getRemainingMs()),
        isFresh: !request.isIdempotent || request.attempts > 1,
        lastEventId: attempt.progress.lastEventId,
        chain: attempt.reservation.stages,
        signal: attempt.abort.signal,
      }),
    );
    if (sent.ok) return this._accept(attempt, sent.val);
    if (request.signal.aborted) return "caller-left";
    this._note(attempt, sent.val.code);
    if (sent.val instanceof errors.ConnectionLostError) {
      first.circuitBreaker.noteFailed(attempt.sentAtMs, utils.monotonicMs());
      void this.context.crashes.noteLost(attempt, first);
    }
    if (!(sent.val instanceof errors.NotReachedError)) return "lost";
    request.attempts -= 1;
    attempt.reservation.permit?.release();
    this.context.suspicions.noteSilent(first.id, sent.val.code);
    return "not-run";
  }

  private async _accept(attempt: StreamAttempt, answer: HttpAnswer): Promise<AttemptEnd> {
    const { request } = attempt;
    const fields = this.context.codec.decodeAnswer(answer.headers);
    if (attempt.firstEndpoint !== undefined)
      this.context.statements.noteAnswer(attempt.firstEndpoint, {
        status: answer.status,
        stated: fields.stated,
        sentAtMs: attempt.sentAtMs,
      });
    if (fields.hasNotRun) return this._acceptRefusal(attempt, answer, fields.faultyAddress);
    if (answer.status < failureStatus) attempt.firstEndpoint?.noteAnswered(attempt.sentAtMs);
    else attempt.firstEndpoint?.circuitBreaker.noteFailed(attempt.sentAtMs, utils.monotonicMs());
    if (fields.requestId !== request.fields.requestId || fields.isEncoded) {
      answer.abort();
      this._note(attempt, "answer of another request");
      return "lost";
    }
    if (answer.status !== successStatus) return this._passFailure(attempt, answer);
    if (!request.isHeadSent) request.startStream(answer.status, answer.headers);
    const end = await attempt.relay(answer);
    this._noteFirstEvent(attempt);
    if (end === "caller-left") return "caller-left";
    if (end === "completed") {
      request.finish();
      this._noteCompleted(attempt);
      return "answered";
    }
    this._note(attempt, "stream broken off");
    // A run that was ended from here says nothing of its engine.
    if (!attempt.abort.signal.aborted && attempt.firstEndpoint !== undefined)
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
    this._firstEventMs += (attempt.firstEventMs - this._firstEventMs) / smoothedFirstEvents;
  }

  /**
   * An engine that refuses at once is short of memory or gives the layers up: it gets no more than it has for a moment, from this
   * instance and from its peers, which would all be refused in turn. Where a zone has too many requests by half, telling saves nine in
   * ten sends in vain (3 in 100 instead of 24, by the test of many choosers).
   * One that refuses after a long wait names an engine that does not answer.
   */
  private _acceptRefusal(
    attempt: StreamAttempt,
    answer: HttpAnswer,
    faultyAddress: string | undefined,
  ): AttemptEnd {
    answer.message.resume();
    // What was refused is no load.
    attempt.reservation.release();
    const nowMs = utils.monotonicMs();
    const address = faultyAddress ?? attempt.firstStage?.address ?? "";
    attempt.progress.refusedBy.add(address);
    const faulty = findNamedEndpoint(this.context.endpoints, attempt.reservation.stages, address);
    const waitedMs = nowMs - attempt.lastActivityAtMs;
    if (faulty !== undefined && waitedMs >= stalledRefusalMs)
      void this.context.suspicions.noteNamed(faulty.id, `refusal ${answer.status}`);
    else if (faulty?.noteFull(nowMs) === true) this.context.broadcastFull(faulty.id);
    if (faulty !== undefined && answer.status === notHeldStatus)
      void this.context.suspicions.noteNotHeld(faulty.id);
    this._note(attempt, `refusal ${answer.status} for ${address} after ${Math.round(waitedMs)} ms`);
    return "not-run";
  }

  private async _passFailure(attempt: StreamAttempt, answer: HttpAnswer): Promise<AttemptEnd> {
    const { request } = attempt;
    const address = attempt.firstStage?.address ?? "";
    const body = await readBody(answer, address, maxErrorBytes, Math.max(1, request.getRemainingMs()));
    this._note(attempt, `status ${answer.status}`);
    if (body.err || request.isHeadSent) return "lost";
    if (
      request.isIdempotent &&
      answer.status >= failureStatus &&
      request.attempts < request.route.maxAttempts
    )
      return "lost";
    this._noteCompleted(attempt);
    request.answer(answer.status, answer.headers, body.val);
    return "answered";
  }

  private _refuse(request: CallerRequest, service: string, hasRun: boolean, reason: StreamRefusal): void {
    if (request.isAnswered) return;
    if (hasRun || request.isHeadSent) return request.refuse(502, "outcome-unknown");
    const retryAfterMs = this._getRetryAfterMs(reason, service);
    const profile = this.context.activeConfiguration.table?.getEngineProfile(service);
    const endpoints = this.context.endpoints.getUsable(service);
    this.context.log.warn("stream-refused", {
      requestId: request.id,
      reason,
      waiting: this._admission.waiting,
      retryAfterMs: Math.round(retryAfterMs),
      limits:
        reason === "limited" || reason === "resting" ? this.context.forecast.describe(service) : undefined,
      room: profile === undefined ? undefined : describeFreeCapacity(endpoints, profile, utils.monotonicMs()),
    });
    request.refuse(503, reason, retryAfterMs);
  }

  /** Whoever was refused by engines while nobody waits for room here may come back at once: other engines have room. */
  private _getRetryAfterMs(reason: StreamRefusal, service: string): number {
    if (reason === "no-endpoint") return noEndpointRetryAfterMs;
    if (reason === "held-back") return trialElsewhereRetryAfterMs;
    if (reason === "not-run" && this._admission.waiting === 0) return notRunRetryAfterMs;
    return this._admission.getRetryAfterMs(service);
  }

  private _endLate(request: CallerRequest, service: string): void {
    if (request.attempts === 0) request.refuse(503, "no-room", this._admission.getRetryAfterMs(service));
    else request.refuse(504, "out-of-time");
  }

  private _note(attempt: StreamAttempt, cause: string): void {
    const { request, progress, reservation } = attempt;
    this.context.log.warn("stream-run-failed", {
      requestId: request.id,
      digest: request.digest,
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
