import { errors, results, utils, type ExecutionStatus } from "@shedtiller/common";
import type { Timeline } from "@shedtiller/timeline";
import type { ClaimBatcher } from "./ClaimBatcher.js";
import type { ClaimProjection, ClaimOutcome } from "./ClaimProjection.js";
import { ClaimRefusedError } from "./ClaimRefusedError.js";
import type { Claim } from "./claimRecords.js";
import { OutcomeUnknownError } from "./OutcomeUnknownError.js";

/** Failure of the work itself. */
export interface WorkError extends errors.ShedtillerError {
  /** Whether the work ran, as far as this is known. */
  readonly ran: ExecutionStatus;
}

export type OnceError = ClaimRefusedError | OutcomeUnknownError | WorkError;
type AtMostOnceResult<A> = results.Result<A, OnceError>;

/** Dependencies of {@link AtMostOnceExecutor}. */
export interface AtMostOnceExecutorStructure<A> {
  readonly projection: ClaimProjection;
  readonly batcher: ClaimBatcher;
  readonly timeline: Timeline;
  /** Name of this instance. */
  readonly holder: string;
  /** Maximum number of outcomes in the cache. */
  readonly answersKept: number;
  /** Requests the response of a key from the instance that holds it, and returns undefined if it is not available. */
  readonly requestFromHolder: (holder: string, key: string, timeoutMs: number) => Promise<A | undefined>;
}

/** Options of {@link AtMostOnceExecutor.run}. */
export interface OnceOptions<A> {
  readonly requestId: string;
  /** Monotonic time after which the work must not start. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Runs the work. */
  readonly run: () => Promise<results.Result<A, WorkError>>;
}

const claimTimeoutMs = 3_000;

/**
 * Runs work at most once for each idempotency key, across all instances and for ever. It claims a key in the log, runs the work if the
 * claim was won, and caches the outcome for later calls with the same key.
 */
export class AtMostOnceExecutor<A> {
  private readonly _outcomes: utils.BoundedMap<Promise<AtMostOnceResult<A>>>;

  constructor(private readonly _structure: AtMostOnceExecutorStructure<A>) {
    this._outcomes = new utils.BoundedMap(_structure.answersKept);
  }

  /** Runs the work of a key, or returns the outcome of an earlier call with the same key. */
  async run(key: string, options: OnceOptions<A>): Promise<AtMostOnceResult<A>> {
    const known = this._outcomes.get(key);
    if (known !== undefined) return known;
    let isClaimWon = false;
    const outcome = this._claimAndRun(key, options, () => {
      isClaimWon = true;
    });
    this._outcomes.set(key, outcome);
    const settled = await outcome;
    // Only outcomes of work that this instance ran stay in the cache. If the work did not run or another instance holds the key, the next
    // call tries again.
    const isCached = isClaimWon && (settled.ok || settled.val.ran === "unknown");
    if (!isCached && this._outcomes.get(key) === outcome) this._outcomes.remove(key);
    return settled;
  }

  /** Returns the response of a key that this instance holds, for a peer that requests it. */
  async getAnswer(key: string): Promise<A | undefined> {
    const outcome = await this._outcomes.get(key);
    return outcome?.ok === true ? outcome.val : undefined;
  }

  private async _claimAndRun(
    key: string,
    options: OnceOptions<A>,
    onWon: () => void,
  ): Promise<AtMostOnceResult<A>> {
    const holder = this._structure.projection.getHolder(key);
    const isFree = holder === undefined || this._structure.batcher.isAbandoning(key);
    if (!isFree) return this._requestFromHolder(holder, key, options.deadlineMs);
    const claim: Claim = { key, claimId: utils.newId() };
    const claimOutcome = await this._claim(claim, options);
    if (claimOutcome === undefined) return this._abandon(claim, "the key could not be claimed in time");
    if (claimOutcome.kind === "lost")
      return this._requestFromHolder(claimOutcome.holder, key, options.deadlineMs);
    if (claimOutcome.kind === "out-of-window") {
      return results.Err(
        new OutcomeUnknownError("the key is older than the claims horizon, or its time is in the future"),
      );
    }
    this._structure.timeline.add("claimed", { requestId: options.requestId, subject: key });
    onWon();
    return this._runWon(claim, options);
  }

  /** Runs the work of a won claim. The claim belongs to this instance for ever, even if it is suspended before the work starts. */
  private async _runWon(claim: Claim, options: OnceOptions<A>): Promise<AtMostOnceResult<A>> {
    if (options.signal.aborted || utils.monotonicMs() >= options.deadlineMs) {
      return this._abandon(claim, "the caller disconnected or the deadline passed before the work started");
    }
    const outcome = await options.run();
    if (outcome.err && outcome.val.ran === "no") this._structure.batcher.abandon(claim);
    return outcome;
  }

  private async _claim(claim: Claim, options: OnceOptions<A>): Promise<ClaimOutcome | undefined> {
    const { projection, batcher } = this._structure;
    const claimOutcome = projection.waitForOutcome(claim.claimId);
    batcher.addClaim(claim);
    const waitMs = Math.min(claimTimeoutMs, options.deadlineMs - utils.monotonicMs());
    try {
      return await utils.withDeadline(claimOutcome, Math.max(0, waitMs), "A claim");
    } catch {
      return undefined;
    } finally {
      projection.stopWaiting(claim.claimId);
    }
  }

  private _abandon(claim: Claim, reason: string): AtMostOnceResult<A> {
    this._structure.batcher.abandon(claim);
    return results.Err(new ClaimRefusedError(reason));
  }

  /** Waits for the holder until the deadline, since it may still run the key's request; the loss of the link ends the wait. */
  private async _requestFromHolder(
    holder: string,
    key: string,
    deadlineMs: number,
  ): Promise<AtMostOnceResult<A>> {
    this._structure.timeline.add("claim-lost", { subject: key, detail: `held by ${holder}` });
    if (holder === this._structure.holder) {
      return results.Err(
        new OutcomeUnknownError("the key was claimed by this instance, which no longer has the outcome"),
      );
    }
    const timeoutMs = Math.max(0, deadlineMs - utils.monotonicMs());
    const answer = await this._structure.requestFromHolder(holder, key, timeoutMs);
    if (answer !== undefined) return results.Ok(answer);
    return results.Err(new OutcomeUnknownError(`the key was claimed by ${holder}, which does not respond`));
  }
}
