/** Confirmation of plans by an append under the plan's id, so that the outcome can be determined even if the reply is lost. */
import { errors, results, utils } from "@shedtiller/common";
import type { AppendReceipt, LogError, LogService } from "@shedtiller/logservice";
import type { ConfigurationProjection } from "./ConfigurationProjection.js";
import * as records from "./configurationRecords.js";
import type { Plan } from "./intents.js";

const pollMs = 5;
const appendRetryMs = 300;

/** Neither the reply to the append nor its record arrived in time, so the plan may or may not take effect. */
export class ConfirmationUnknownError extends errors.ShedtillerError {
  readonly code = "confirmation_unknown";

  constructor(readonly planId: string) {
    super(`The outcome of the confirmation of ${planId} is not known yet; run show to check it.`);
  }
}

/** Nothing was appended to the log, so the plan has not taken effect and will not take effect later. */
export class NotConfirmedError extends errors.ShedtillerError {
  readonly code = "not_confirmed";

  constructor(
    readonly planId: string,
    cause: unknown,
  ) {
    super(`The plan ${planId} was not confirmed: the log service is unreachable or rejects appends.`, {
      cause,
    });
  }
}

/** Appends confirmations of plans to the log and waits for their outcomes in the projection. */
export class Confirmer {
  constructor(
    private readonly _log: LogService,
    private readonly _projection: ConfigurationProjection,
    /** Monotonic clock, replaced in tests. */
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Confirms a plan and returns its outcome, which is the same on all instances. */
  async confirm(
    plan: Plan,
    timeoutMs: number,
  ): Promise<results.Result<records.PlanOutcome, ConfirmationUnknownError | NotConfirmedError>> {
    const deadlineMs = this._nowMs() + timeoutMs;
    let isPossiblyAppended = false;
    let lastError: unknown;
    const getRemainingMs = (): number => deadlineMs - this._nowMs();
    const isDecided = (): boolean => this._projection.getOutcome(plan.planId) !== undefined;
    let lastAnswerMs = 0;
    // Another append without time for its reply would make the outcome unknown although the log had rejected the previous one.
    while (!isDecided() && getRemainingMs() > lastAnswerMs) {
      const sentAtMs = this._nowMs();
      const appended = await this._append(plan, getRemainingMs(), isDecided);
      if (appended === undefined) break;
      lastAnswerMs = this._nowMs() - sentAtMs;
      if (appended.ok || !isProvenNotAppended(appended.val)) isPossiblyAppended = true;
      if (appended.err) lastError = appended.val;
      await utils.waitUntil(
        isDecided,
        appended.ok ? getRemainingMs() : Math.min(appendRetryMs, getRemainingMs()),
        pollMs,
      );
    }
    const outcome = this._projection.getOutcome(plan.planId);
    if (outcome !== undefined) return results.Ok(outcome);
    if (isPossiblyAppended) return results.Err(new ConfirmationUnknownError(plan.planId));
    return results.Err(new NotConfirmedError(plan.planId, lastError));
  }

  /**
   * Appends the confirmation and waits for the reply until the deadline, since even a late reply of the log is definite. Repeated appends
   * are harmless: the projection decides each plan id once. Returns undefined if the outcome arrived before the reply.
   */
  private _append(
    plan: Plan,
    timeoutMs: number,
    isDecided: () => boolean,
  ): Promise<results.Result<AppendReceipt, LogError> | undefined> {
    let hasReply = false;
    const reply = this._log
      .append(records.configurationStream, plan.planId, createRecord(plan), timeoutMs)
      .finally(() => (hasReply = true));
    const decided = utils.waitUntil(() => hasReply || isDecided(), timeoutMs, pollMs);
    return Promise.race([reply, decided.then((isOver) => (isOver && !hasReply ? undefined : reply))]);
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
