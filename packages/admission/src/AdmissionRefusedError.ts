import { errors, type ExecutionStatus } from "@shedtiller/common";

/** Reason why a request was not admitted, used as a label of the refusal metric. */
export type RefusalReason = "account-concurrency" | "account-tokens" | "overload" | "deadline" | "cancelled";

/** Error for a request that was not admitted. It was rejected before any work was done, so it did not run. */
export class AdmissionRefusedError extends errors.ShedtillerError {
  readonly code = "not_admitted";
  readonly ran: ExecutionStatus = "no";

  /**
   * @param reason - Reason for the rejection.
   * @param retryAfterMs - Time after which the caller should retry.
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
      return "the client account has reached its limit of concurrent requests";
    case "account-tokens":
      return "the client account has reached its limit of tokens per minute";
    case "overload":
      return "the service is overloaded, and requests of higher priority are served first";
    case "deadline":
      return "the request could not start before its deadline";
    case "cancelled":
      return "the caller disconnected while the request waited";
  }
}
