/** Refusals before any work was done. All of them are truthful: nothing ran. */
import { errors, type ExecutionStatus } from "@shedtiller/common";

/** Why a request was not admitted; the label of the refusal metric. */
export type RefusalReason = "account-concurrency" | "account-tokens" | "overload" | "deadline" | "cancelled";

/** The request was not admitted. */
export class AdmissionRefusedError extends errors.ShedtillerError {
  readonly code = "not_admitted";
  readonly ran: ExecutionStatus = "no";

  /**
   * @param reason - Why.
   * @param retryAfterMs - When it makes sense to come back.
   */
  constructor(
    readonly reason: RefusalReason,
    readonly retryAfterMs: number,
  ) {
    super(`The request was not admitted: ${describe(reason)}.`);
  }
}

function describe(reason: RefusalReason): string {
  switch (reason) {
    case "account-concurrency":
      return "the client account has as many requests under way as it may";
    case "account-tokens":
      return "the client account has used the tokens that it may for now";
    case "overload":
      return "capacity is short and requests of higher priority go first";
    case "deadline":
      return "it could not begin before its deadline";
    case "cancelled":
      return "its caller went away while it waited";
  }
}
