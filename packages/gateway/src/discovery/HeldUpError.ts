import { errors } from "@shedtiller/common";

/** A question had no answer before its limit, but this process was held up meanwhile, so that this shows nothing about the endpoint. */
export class HeldUpError extends errors.ShedtillerError {
  readonly code = "held_up";

  constructor(
    /** For how long the process was held up. */
    readonly heldUpMs: number,
  ) {
    super(`This process was held up for ${Math.round(heldUpMs)} ms while it waited for an answer.`);
  }
}
