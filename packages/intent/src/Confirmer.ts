/** Confirmation of a plan: one append with the plan's id, resolved to the truth also when its reply is lost. */
import { errors, results, utils } from "@shedtiller/common";
import type { LogService } from "@shedtiller/logservice";
import type { ConfigurationFold } from "./ConfigurationFold.js";
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
    private readonly _fold: ConfigurationFold,
  ) {}

  /** Confirms a plan and gives the outcome that every instance will come to. */
  async confirm(
    plan: Plan,
    timeoutMs: number,
  ): Promise<results.Result<records.PlanOutcome, ConfirmationUnknownError | NotConfirmedError>> {
    const deadlineMs = utils.monotonicMs() + timeoutMs;
    let isPossiblyAppended = false;
    let lastFailure: unknown;
    while (utils.monotonicMs() < deadlineMs) {
      const known = this._fold.getOutcome(plan.planId);
      if (known !== undefined) return results.Ok(known);
      // Appending again is harmless: the fold decides each plan id once.
      const appended = await this._log.append(records.configurationStream, plan.planId, createRecord(plan));
      if (appended.ok || !isProvenNotAppended(appended.val)) isPossiblyAppended = true;
      if (appended.err) lastFailure = appended.val;
      const waitMs = appended.ok ? deadlineMs - utils.monotonicMs() : appendAgainMs;
      const isKnown = (): boolean => this._fold.getOutcome(plan.planId) !== undefined;
      await utils.waitUntil(isKnown, Math.min(waitMs, deadlineMs - utils.monotonicMs()), pollMs);
    }
    const outcome = this._fold.getOutcome(plan.planId);
    if (outcome !== undefined) return results.Ok(outcome);
    if (isPossiblyAppended) return results.Err(new ConfirmationUnknownError(plan.planId));
    return results.Err(new NotConfirmedError(plan.planId, lastFailure));
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
