/** Runs work at most once for each key, over all instances and for ever. */
import { errors, results, utils, type ExecutionStatus } from "@shedtiller/common";
import type { Timeline } from "@shedtiller/timeline";
import type { ClaimBatcher } from "./ClaimBatcher.js";
import type { ClaimProjection, Verdict } from "./ClaimProjection.js";
import type { Claim } from "./claimRecords.js";

/** The claim could not be made, and nothing ran for this call. */
export class ClaimRefusedError extends errors.ShedtillerError {
  readonly code = "claim_refused";
  readonly ran: ExecutionStatus = "no";

  constructor(readonly reason: string) {
    super(`The call was not run: ${reason}.`);
  }
}

/** The key was used before, and its first answer is not known here. */
export class OutcomeUnknownError extends errors.ShedtillerError {
  readonly code = "outcome_unknown";
  readonly ran: ExecutionStatus = "unknown";

  constructor(readonly reason: string) {
    super(`The outcome of this key is unknown: ${reason}.`);
  }
}

/** Failure of the work itself, with what is known of its having run. */
export interface WorkError extends errors.ShedtillerError {
  readonly ran: ExecutionStatus;
}

export type OnceError = ClaimRefusedError | OutcomeUnknownError | WorkError;
type Once<A> = results.Result<A, OnceError>;

/** What the parts around it do for `AtMostOnce`. */
export interface AtMostOnceStructure<A> {
  readonly projection: ClaimProjection;
  readonly batcher: ClaimBatcher;
  readonly timeline: Timeline;
  /** Name of this instance. */
  readonly holder: string;
  readonly answersKept: number;
  /** Asks the instance that holds a key for its answer; undefined where it can't be had. */
  readonly askHolder: (holder: string, key: string, timeoutMs: number) => Promise<A | undefined>;
}

/** How one call is run. */
export interface OnceOptions<A> {
  readonly requestId: string;
  /** Monotonic milliseconds after which the work must not begin. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  readonly run: () => Promise<results.Result<A, WorkError>>;
}

const longestClaimMs = 3_000;
const askHolderMs = 2_000;

/** Claims keys, runs the work of those that were won, and keeps answers for later calls with the same key. */
export class AtMostOnce<A> {
  private readonly _outcomes: utils.BoundedMap<Promise<Once<A>>>;

  constructor(private readonly _structure: AtMostOnceStructure<A>) {
    this._outcomes = new utils.BoundedMap(_structure.answersKept);
  }

  /** Runs the work of a key, or gives the outcome of its earlier call. */
  async run(key: string, options: OnceOptions<A>): Promise<Once<A>> {
    const known = this._outcomes.get(key);
    if (known !== undefined) return known;
    let isOurs = false;
    const outcome = this._claimAndRun(key, options, () => {
      isOurs = true;
    });
    this._outcomes.set(key, outcome);
    const settled = await outcome;
    // Kept is what this instance ran. What did not run, or is another's to know, is found out anew by the next call.
    const isKept = isOurs && (settled.ok || settled.val.ran === "unknown");
    if (!isKept && this._outcomes.get(key) === outcome) this._outcomes.remove(key);
    return settled;
  }

  /** Answers a peer that asks for the answer of a key which this instance holds. */
  async getAnswer(key: string): Promise<A | undefined> {
    const outcome = await this._outcomes.get(key);
    return outcome?.ok === true ? outcome.val : undefined;
  }

  private async _claimAndRun(key: string, options: OnceOptions<A>, onWon: () => void): Promise<Once<A>> {
    const holder = this._structure.projection.getHolder(key);
    const isFree = holder === undefined || this._structure.batcher.isAbandoning(key);
    if (!isFree) return this._askHolder(holder, key);
    const claim: Claim = { key, claimId: utils.newId() };
    const verdict = await this._claim(claim, options);
    if (verdict === undefined) return this._giveUp(claim, "the claim could not be made in time");
    if (verdict.kind === "lost") return this._askHolder(verdict.holder, key);
    if (verdict.kind === "out-of-window") {
      return results.Err(new OutcomeUnknownError("the key is older than the horizon or ahead of time"));
    }
    this._structure.timeline.add("claimed", { requestId: options.requestId, subject: key });
    onWon();
    return this._runWon(claim, options);
  }

  /** From here on the claim is ours for ever, however long we stand still before the work begins. */
  private async _runWon(claim: Claim, options: OnceOptions<A>): Promise<Once<A>> {
    if (options.signal.aborted || utils.monotonicMs() >= options.deadlineMs) {
      return this._giveUp(claim, "its caller or its deadline had gone before it began");
    }
    const outcome = await options.run();
    if (outcome.err && outcome.val.ran === "no") this._structure.batcher.abandon(claim);
    return outcome;
  }

  private async _claim(claim: Claim, options: OnceOptions<A>): Promise<Verdict | undefined> {
    const { projection: fold, batcher } = this._structure;
    const verdict = fold.waitForVerdict(claim.claimId);
    batcher.addClaim(claim);
    const waitMs = Math.min(longestClaimMs, options.deadlineMs - utils.monotonicMs());
    try {
      return await utils.withDeadline(verdict, Math.max(0, waitMs), "A claim");
    } catch {
      return undefined;
    } finally {
      fold.forgetVerdict(claim.claimId);
    }
  }

  private _giveUp(claim: Claim, reason: string): Once<A> {
    this._structure.batcher.abandon(claim);
    return results.Err(new ClaimRefusedError(reason));
  }

  private async _askHolder(holder: string, key: string): Promise<Once<A>> {
    this._structure.timeline.add("claim-lost", { subject: key, detail: `held by ${holder}` });
    if (holder === this._structure.holder) {
      return results.Err(
        new OutcomeUnknownError("it was claimed by this instance, which no longer knows it"),
      );
    }
    const answer = await this._structure.askHolder(holder, key, askHolderMs);
    if (answer !== undefined) return results.Ok(answer);
    return results.Err(new OutcomeUnknownError(`it was claimed by ${holder}, which gives no answer`));
  }
}
