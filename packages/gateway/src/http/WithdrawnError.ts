import { errors } from "@shedtiller/common";

/** A call was withdrawn once its connection was established, before anything was written to it. */
export class WithdrawnError extends errors.ShedtillerError {
  readonly code = "withdrawn";

  constructor(readonly address: string) {
    super(`The call to ${address} was withdrawn before anything was sent.`);
  }
}
