/** Log lines and counts of the runs of streams. */
import { utils } from "@shedtiller/common";
import { describeChain } from "../chains/describeChain.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { RetryObstacle } from "./RequestForwarder.js";
import type { DoubtCause, StreamAttempt } from "./StreamAttempt.js";

/** What prevents a successor of a run in doubt. */
export type SuccessorObstacle = RetryObstacle | "quarantined" | "all-silent" | "no-room";

/** How the doubt of a run ended: its successor went on, the run itself did, or the run ended first. */
export type DoubtResult = "replaced" | "recovered" | "ended";

/** Dependencies of {@link StreamRunLog}. */
export interface StreamRunLogStructure {
  readonly log: DecisionLog;
  readonly countDoubt?: ((cause: DoubtCause, result: DoubtResult) => void) | undefined;
}

/** Logs how runs of streams end, and what becomes of runs in doubt. */
export class StreamRunLog {
  /** By run in doubt: the obstacle that was logged last. */
  private readonly _obstacles = new WeakMap<StreamAttempt, SuccessorObstacle>();

  constructor(private readonly _structure: StreamRunLogStructure) {}

  /** Logs that a run in doubt has no successor now, once for each reason. */
  noteKept(attempt: StreamAttempt, obstacle: SuccessorObstacle): void {
    if (this._obstacles.get(attempt) === obstacle) return;
    this._obstacles.set(attempt, obstacle);
    this._structure.log.info("stream-run-kept", { ...describeDoubt(attempt), obstacle });
  }

  /** Logs that a run in doubt gets a successor. */
  noteSuccessor(doubted: StreamAttempt, successor: StreamAttempt): void {
    const chain = describeChain(successor.reservation.stages);
    this._structure.log.info("stream-successor-sent", { ...describeDoubt(doubted), chain });
  }

  /** Logs that a run in doubt has given a sign again. */
  noteRecovered(attempt: StreamAttempt): void {
    this._structure.log.info("stream-run-recovered", describeDoubt(attempt));
    this._count(attempt.doubt, "recovered");
  }

  /** Logs that a successor goes on in place of other runs. */
  noteReplaced(winner: StreamAttempt, [replaced]: readonly StreamAttempt[]): void {
    this._structure.log.info("stream-run-replaced", {
      requestId: winner.request.id,
      doubt: replaced?.doubt,
      chain: describeChain(winner.reservation.stages),
      sinceSentMs: Math.round(utils.monotonicMs() - winner.sentAtMs),
    });
    this._count(replaced?.doubt, "replaced");
  }

  /** Logs that a run ended without the whole answer. */
  noteFailed(attempt: StreamAttempt, cause: string): void {
    if (attempt.givenUpFor === "not-needed") return;
    const { request, progress, reservation, firstEndpoint } = attempt;
    const nowMs = utils.monotonicMs();
    const heardMsAgo = nowMs - (firstEndpoint?.heardAtMs ?? Number.NEGATIVE_INFINITY);
    if (attempt.givenUpFor === undefined) this._count(attempt.doubt, "ended");
    this._structure.log.warn("stream-run-failed", {
      requestId: request.id,
      digest: request.digest,
      promptPartIds: request.fields.promptPartIds,
      cause,
      givenUpFor: attempt.givenUpFor,
      doubt: attempt.doubt,
      silenceMs: Math.round(nowMs - attempt.lastActivityAtMs),
      engineHeardMsAgo: Number.isFinite(heardMsAgo) ? Math.round(heardMsAgo) : undefined,
      suspected: firstEndpoint?.isSuspect(nowMs),
      chain: describeChain(reservation.stages),
      sinceSentMs: Math.round(nowMs - attempt.sentAtMs),
      hasBegun: attempt.hasBegun,
      hasEvents: attempt.hasEvents,
      events: progress.events,
      lastEventId: progress.lastEventId,
      attempts: request.attempts,
      remainingMs: Math.round(request.getRemainingMs()),
    });
  }

  /** Logs what prevents another run; the answer of a stream that has begun is incomplete then. */
  noteUnresumed(request: CallerRequest, reason: string): void {
    const { id: requestId, isHeadSent, attempts } = request;
    this._structure.log.warn("stream-not-resumed", { requestId, reason, isHeadSent, attempts });
  }

  private _count(cause: DoubtCause | undefined, result: DoubtResult): void {
    if (cause !== undefined) this._structure.countDoubt?.(cause, result);
  }
}

function describeDoubt(attempt: StreamAttempt) {
  const nowMs = utils.monotonicMs();
  const { request, doubt, firstEndpoint } = attempt;
  return {
    requestId: request.id,
    doubt,
    silenceMs: Math.round(nowMs - attempt.lastActivityAtMs),
    endpointId: attempt.endpointId,
    suspected: firstEndpoint?.isSuspect(nowMs),
    attempts: request.attempts,
  };
}
