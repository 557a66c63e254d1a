import { errors, type ExecutionStatus } from "@shedtiller/common";

/** Error for a call whose key was used before, while the outcome of that call is not available. */
export class OutcomeUnknownError extends errors.ShedtillerError {
  readonly code = "outcome_unknown";
  readonly ran: ExecutionStatus = "unknown";

  constructor(readonly reason: string) {
    super(`The outcome of this key is unknown: ${reason}.`);
  }
}
