/** Confirmation of a plan: one append with the plan's id, resolved to the truth also when its reply is lost. */
import { errors, results, utils } from "@shedtiller/common";
import type { AppendReceipt, LogError, LogService } from "@shedtiller/logservice";
import type { ConfigurationProjection } from "./ConfigurationProjection.js";
import * as records from "./configurationRecords.js";
import type { Plan } from "./intents.js";

const pollMs = 5;
const appendAgainMs = 300;

/** Neither the append's reply nor its record was seen in time: the plan may or may not take effect. */
export class ConfirmationUnknownError extends errors.ShedtillerError {
  readonly code = "confirmation_unknown";

  constructor(readonly planId: string) {
    super(`It is not known yet whether the confirmation of ${planId} took effect; ask again with show.`);
  }
}

/** Nothing was appended, so the plan has not taken effect and will not by itself. */
export class NotConfirmedError extends errors.ShedtillerError {
  readonly code = "not_confirmed";

  constructor(
    readonly planId: string,
    cause: unknown,
  ) {
    super(`The plan ${planId} was not confirmed: the log service can't be reached or refuses.`, { cause });
  }
}

/** Appends confirmations and waits for their outcome in the fold. */
export class Confirmer {
  constructor(
    private readonly _log: LogService,
    private readonly _fold: ConfigurationProjection,
    /** Monotonic clock, replaced in tests. */
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Confirms a plan and gives the outcome that every instance will come to. */
  async confirm(
    plan: Plan,
    timeoutMs: number,
  ): Promise<results.Result<records.PlanOutcome, ConfirmationUnknownError | NotConfirmedError>> {
    const deadlineMs = this._nowMs() + timeoutMs;
    let isPossiblyAppended = false;
    let lastFailure: unknown;
    const getLeftMs = (): number => deadlineMs - this._nowMs();
    const isKnown = (): boolean => this._fold.getOutcome(plan.planId) !== undefined;
    let answerMs = 0;
    // A reply that there is no time for would leave it unknown what the log had refused before.
    while (!isKnown() && getLeftMs() > answerMs) {
      const askedAtMs = this._nowMs();
      const appended = await this._append(plan, getLeftMs(), isKnown);
      if (appended === undefined) break;
      answerMs = this._nowMs() - askedAtMs;
      if (appended.ok || !isProvenNotAppended(appended.val)) isPossiblyAppended = true;
      if (appended.err) lastFailure = appended.val;
      await utils.waitUntil(
        isKnown,
        appended.ok ? getLeftMs() : Math.min(appendAgainMs, getLeftMs()),
        pollMs,
      );
    }
    const outcome = this._fold.getOutcome(plan.planId);
    if (outcome !== undefined) return results.Ok(outcome);
    if (isPossiblyAppended) return results.Err(new ConfirmationUnknownError(plan.planId));
    return results.Err(new NotConfirmedError(plan.planId, lastFailure));
  }

  /**
   * Appends, and waits for the reply as long as there is time: a log that answers late says surely what it did. Appending again is harmless,
   * since the fold decides each plan id once. Undefined where the outcome came before the reply.
   */
  private _append(
    plan: Plan,
    timeoutMs: number,
    isKnown: () => boolean,
  ): Promise<results.Result<AppendReceipt, LogError> | undefined> {
    let hasReply = false;
    const reply = this._log
      .append(records.configurationStream, plan.planId, createRecord(plan), timeoutMs)
      .finally(() => (hasReply = true));
    const known = utils.waitUntil(() => hasReply || isKnown(), timeoutMs, pollMs);
    return Promise.race([reply, known.then((isOver) => (isOver && !hasReply ? undefined : reply))]);
  }
}

function createRecord(plan: Plan): records.ConfirmRecord {
  return {
    version: records.recordVersion,
    type: "confirm",
    planId: plan.planId,
    operator: plan.operator,
    changes: plan.changes,
  };
}

function isProvenNotAppended(error: unknown): boolean {
  return errors.hasCode(error, "not_reached", "log_refused");
}
