import { errors, type ExecutionStatus } from "@shedtiller/common";

/** Error for a call whose key could not be claimed. Nothing ran for this call. */
export class ClaimRefusedError extends errors.ShedtillerError {
  readonly code = "claim_refused";
  readonly ran: ExecutionStatus = "no";

  constructor(readonly reason: string) {
    super(`The call was not run: ${reason}.`);
  }
}
