/** Forwarder of streamed requests, which run at chains of engines. */
import { errors, utils } from "@shedtiller/common";
import type { ChainAdmission } from "../chains/ChainAdmission.js";
import { describeChain } from "../chains/describeChain.js";
import { findNamedEndpoint } from "../chains/findNamedEndpoint.js";
import type { ChainReservation } from "../chains/ChainReservation.js";
import { getEvidence } from "../discovery/SuspicionEvidence.js";
import { discardBody } from "../http/discardBody.js";
import { EndlessAnswerError } from "../http/EndlessAnswerError.js";
import { isUnsent, type HttpAnswer } from "../http/HttpCall.js";
import { readBody } from "../http/readBody.js";
import { WithdrawnError } from "../http/WithdrawnError.js";
import type { CallerRequest } from "./CallerRequest.js";
import { isReturn, refuseAtGates } from "./refuseAtGates.js";
import { failureStatus, isEndless, RequestForwarder, type ForwardContext } from "./RequestForwarder.js";
import { maxSilenceMs, type StallMonitor } from "./StallMonitor.js";
import { StreamAttempt } from "./StreamAttempt.js";
import { getFirstEventTarget, StreamPlacement } from "./StreamPlacement.js";
import { StreamProgress } from "./StreamProgress.js";
import { StreamRefusals, type StreamRefusal } from "./StreamRefusals.js";
import { StreamRunLog, type SuccessorObstacle } from "./StreamRunLog.js";
import { StreamRuns, type RunEnd } from "./StreamRuns.js";

const maxErrorBytes = 1024 * 1024;
const successStatus = 200;
/**
 * Status of a rejection by an engine that has not loaded its layers of the chain, or is not the intended engine (RFC 9110,
 * section 15.5.20).
 */
const misdirectedStatus = 421;

/** A rejection after this time results from a stalled chain: engines without capacity reject immediately. */
const stalledRefusalMs = 1_000;

/** Minimum time between two tries to find a successor for a run in doubt. */
const successorIntervalMs = 300;

/**
 * Forwards streams. Each attempt reserves capacity at its chain; a lost stream resumes after the last event that was forwarded, and a run in
 * doubt continues until its successor has produced an event.
 */
export class StreamForwarder extends RequestForwarder {
  private readonly _refusals: StreamRefusals;
  private readonly _runLog: StreamRunLog;
  private readonly _placement: StreamPlacement;

  constructor(
    context: ForwardContext,
    private readonly _admission: ChainAdmission,
    private readonly _monitor: StallMonitor,
  ) {
    super(context);
    this._refusals = new StreamRefusals(context, _admission);
    this._runLog = new StreamRunLog(context);
    this._placement = new StreamPlacement(context, _admission);
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
    while (!request.isAnswered && !request.signal.aborted) {
      if (await this.refuseIfQuarantined(request, progress.hasRun)) return;
      if (request.signal.aborted) return;
      const end = await this._runAttempt(request, service, progress);
      const { hasRun } = progress;
      if (end === undefined) {
        return this._refuse(request, service, hasRun, this._getNoChainReason(request, service, progress));
      }
      if (end === "answered" || end === "caller-left") return;
      const mayRepeat = !hasRun || request.isIdempotent;
      if (mayRepeat && request.attempts === 0) continue;
      const obstacle = mayRepeat ? this.reserveRetry(request, service) : "runs-once";
      if (obstacle === undefined) continue;
      this._runLog.noteUnresumed(request, obstacle);
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

  /** Runs one attempt and its successors; returns undefined if the request got no chain. */
  private async _runAttempt(
    request: CallerRequest,
    service: string,
    progress: StreamProgress,
  ): Promise<RunEnd | undefined> {
    const queuedAtMs = utils.monotonicMs();
    const reservation = await this._placement.acquire(request, service, progress);
    progress.queuedMs += utils.monotonicMs() - queuedAtMs;
    if (reservation === undefined) return request.signal.aborted ? "caller-left" : undefined;
    const runs = new StreamRuns({
      send: (attempt) => this._sendMonitored(attempt),
      reserve: (doubted, signal) => this._reserveSuccessor(doubted, signal),
      begin: (doubted, reserved) => this._beginSuccessor(doubted, reserved),
      discard: (unused) => this._discard(unused),
      onReplaced: (successor, others) => this._noteReplaced(successor, others),
      onRecovered: (attempt) => this._runLog.noteRecovered(attempt),
    });
    return runs.run(new StreamAttempt(request, service, reservation, progress));
  }

  private async _sendMonitored(attempt: StreamAttempt): Promise<RunEnd> {
    const { request, reservation, progress } = attempt;
    progress.chain = describeChain(reservation.stages);
    if (request.attempts > 0) this.context.restarts.notePlaced(reservation.stages);
    this._monitor.add(attempt);
    try {
      const end = await this._send(attempt);
      if (end === "lost") progress.hasRun = progress.passesLevel = true;
      return end;
    } finally {
      this.context.crashes.end(attempt);
      this._monitor.remove(attempt);
      reservation.release();
      this._admission.noteReleased();
    }
  }

  private async _reserveSuccessor(
    doubted: StreamAttempt,
    signal: AbortSignal,
  ): Promise<ChainReservation | "give-up" | undefined> {
    const { request, service, progress, reservation } = doubted;
    const nowMs = utils.monotonicMs();
    if (nowMs - doubted.triedSuccessorAtMs < successorIntervalMs) return undefined;
    const obstacle = this._getSuccessorObstacle(doubted, nowMs);
    if (obstacle !== undefined) return this._handleObstacle(doubted, obstacle);
    await this.context.crashes.waitForTurn(request);
    if (signal.aborted || request.signal.aborted) return undefined;
    if (this.context.crashes.getQuarantineMs(request) !== undefined)
      return this._handleObstacle(doubted, "quarantined");
    // The engine of the run in doubt may have begun to work on the request.
    progress.passesLevel = true;
    const address = doubted.firstStage?.address;
    const avoided = address === undefined ? progress.refusedBy : new Set([...progress.refusedBy, address]);
    const options = { avoided, signal: AbortSignal.any([signal, request.signal]) };
    const { successorGate } = this._monitor;
    if (!successorGate.tryBeginSearch(service, utils.monotonicMs())) return undefined;
    // The chain of the run in doubt becomes free once the successor has produced an event.
    const reserved = await reservation
      .callWithoutLoad(() => this._placement.acquire(request, service, progress, options))
      .finally(() => successorGate.endSearch());
    if (reserved !== undefined || signal.aborted) return reserved;
    doubted.triedSuccessorAtMs = nowMs;
    return this._handleObstacle(doubted, "no-room");
  }

  /**
   * Keeps a run that can't have a successor, unless its caller has received nothing yet and the next event would be late: that caller gets a
   * failure while it still has time to send the request elsewhere.
   */
  private _handleObstacle(doubted: StreamAttempt, obstacle: SuccessorObstacle): "give-up" | undefined {
    const nowMs = utils.monotonicMs();
    const isLate = !doubted.request.isHeadSent && doubted.getSilenceMs(nowMs) >= maxSilenceMs;
    if (isLate && !this._monitor.successorGate.isSilenceCommon(doubted.service, nowMs)) return "give-up";
    this._runLog.noteKept(doubted, obstacle);
    return undefined;
  }

  private _getSuccessorObstacle(doubted: StreamAttempt, nowMs: number): SuccessorObstacle | undefined {
    const { request, service } = doubted;
    if (!this._monitor.successorGate.isOpen(service, nowMs)) return "all-silent";
    return this.getRetryObstacle(request, service);
  }

  /** Withdraws the retry and creates the successor of a run; returns undefined if the retry is not allowed any more. */
  private _beginSuccessor(doubted: StreamAttempt, reservation: ChainReservation): StreamAttempt | undefined {
    const { request, service, progress } = doubted;
    const nowMs = utils.monotonicMs();
    const { successorGate } = this._monitor;
    const obstacle = this._getSuccessorObstacle(doubted, nowMs);
    if (obstacle !== undefined) return void this._runLog.noteKept(doubted, obstacle);
    if (this.withdrawRetry(request, service) !== undefined) return undefined;
    successorGate.noteStart(service, nowMs);
    const successor = new StreamAttempt(request, service, reservation, progress);
    this._runLog.noteSuccessor(doubted, successor);
    return successor;
  }

  private _discard(reservation: ChainReservation): void {
    reservation.permit?.release();
    reservation.release();
    this._admission.noteReleased();
  }

  private _noteReplaced(successor: StreamAttempt, others: readonly StreamAttempt[]): void {
    this._runLog.noteReplaced(successor, others);
    // Streams that fell silent together with this one may have successors as well now.
    setImmediate(() => this._monitor.renewDoubts());
  }

  private async _send(attempt: StreamAttempt): Promise<RunEnd> {
    const { request, firstStage } = attempt;
    const isWanted = (await request.confirmCaller()) && !attempt.abort.signal.aborted;
    const first = firstStage === undefined ? undefined : this.context.endpoints.get(firstStage.endpointId);
    // While the request waited for capacity, an identical one may have crashed engines, or its caller may have left.
    const isQuarantined = this.context.crashes.getQuarantineMs(request) !== undefined;
    if (first === undefined || isQuarantined || !isWanted) {
      attempt.reservation.permit?.release();
      return "again";
    }
    request.attempts += 1;
    attempt.noteSent();
    attempt.firstEndpoint = first;
    attempt.onFirstEvent = () => {
      first.circuitBreaker.noteProduced(attempt.sentAtMs);
      void this.context.crashes.noteFirstEvent(attempt);
    };
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
        onPathLost: () => attempt.noteDoubt("path-cut"),
      }),
    );
    if (sent.ok) return this._handleAnswer(attempt, sent.val);
    if (request.signal.aborted) return "caller-left";
    if (attempt.givenUpFor === "not-needed") return "lost";
    this._runLog.noteFailed(attempt, sent.val.code);
    if (sent.val instanceof EndlessAnswerError) this.noteEndless(request, first, sent.val, attempt.sentAtMs);
    if (sent.val instanceof errors.ConnectionLostError)
      first.circuitBreaker.noteFailed(attempt.sentAtMs, utils.monotonicMs());
    if (sent.val instanceof errors.ConnectionLostError || attempt.abort.signal.aborted)
      void this.context.crashes.noteLost(attempt, first);
    if (!isUnsent(sent.val)) return "lost";
    request.attempts -= 1;
    attempt.reservation.permit?.release();
    if (sent.val instanceof WithdrawnError) return "again";
    this.context.failureDetector.noteUnresponsive(
      first.id,
      sent.val.code,
      getEvidence(sent.val),
      attempt.sentAtMs,
    );
    return "not-run";
  }

  private async _handleAnswer(attempt: StreamAttempt, answer: HttpAnswer): Promise<RunEnd> {
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
      this._runLog.noteFailed(attempt, "answer of another request");
      return "lost";
    }
    if (answer.status !== successStatus) return this._forwardFailure(attempt, answer);
    const startsNow = attempt.isLeading && request.mayStartEarly && !request.isHeadSent;
    if (startsNow) request.startStream(answer.status, answer.headers);
    const end = await attempt.relay(answer);
    this._placement.noteFirstEvent(attempt);
    if (end === "caller-left") return "caller-left";
    if (end === "completed") {
      attempt.onEvents?.();
      if (!request.isHeadSent) request.startStream(answer.status, answer.headers);
      request.finish();
      this._noteCompleted(attempt);
      return "answered";
    }
    this._runLog.noteFailed(attempt, attempt.endless?.code ?? "stream broken off");
    if (attempt.givenUpFor === "not-needed") return "lost";
    if (attempt.endless !== undefined && attempt.firstEndpoint !== undefined) {
      this.noteEndless(request, attempt.firstEndpoint, attempt.endless, attempt.sentAtMs);
      return "lost";
    }
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
  ): RunEnd {
    discardBody(answer);
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
    this._runLog.noteFailed(
      attempt,
      `refusal ${answer.status} for ${address} after ${Math.round(waitedMs)} ms`,
    );
    return "not-run";
  }

  /** Handles an answer with an error status: forwards it, unless the request may be retried. */
  private async _forwardFailure(attempt: StreamAttempt, answer: HttpAnswer): Promise<RunEnd> {
    const { request } = attempt;
    const address = attempt.firstStage?.address ?? "";
    const body = await readBody(answer, address, maxErrorBytes, Math.max(1, request.getRemainingMs()));
    this._runLog.noteFailed(attempt, `status ${answer.status}`);
    if (body.err && attempt.firstEndpoint !== undefined && isEndless(body.val))
      this.noteEndless(request, attempt.firstEndpoint, body.val, attempt.sentAtMs);
    if (body.err || request.isHeadSent || !attempt.isLeading) return "lost";
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
}
