/** The error of a call whose answer exceeds the size limit. */
import { errors } from "@shedtiller/common";

/** Reports that the body of an answer exceeds `maxBytes`. */
export class AnswerTooLargeError extends errors.ShedtillerError {
  readonly code = "answer_too_large";

  constructor(
    readonly address: string,
    readonly maxBytes: number,
  ) {
    super(`The answer of ${address} is larger than ${maxBytes} bytes.`);
  }
}
