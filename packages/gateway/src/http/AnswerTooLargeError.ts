/** The failure of a call whose answer is larger than its caller takes. */
import { errors } from "@shedtiller/common";

/** An answer went past the size that the caller of this module allows. */
export class AnswerTooLargeError extends errors.ShedtillerError {
  readonly code = "answer_too_large";

  constructor(
    readonly address: string,
    readonly maxBytes: number,
  ) {
    super(`The answer of ${address} is larger than ${maxBytes} bytes.`);
  }
}
