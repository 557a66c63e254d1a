/** The error of a call whose answer does not come to an end within its limits. */
import { errors } from "@shedtiller/common";

/**
 * The part that has no end: the headers with everything before them, the framing of the body, an event, or what is buffered of all answers,
 * of which this one was the largest.
 */
export type EndlessPart = "head" | "framing" | "event" | "buffers";

/** Reports that a server goes on to send bytes that are no answer, or of an answer for which there is no memory. */
export class EndlessAnswerError extends errors.ShedtillerError {
  readonly code = "answer_endless";

  constructor(
    readonly address: string,
    readonly part: EndlessPart,
    readonly maxBytes: number,
  ) {
    super(`The answer of ${address} goes on beyond the limit of ${maxBytes} bytes for its ${part}.`);
  }
}
