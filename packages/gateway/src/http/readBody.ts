/** Reads the body of an answer within bounds of size and time. */
import { errors, results, utils } from "@shedtiller/common";
import { AnswerTooLargeError } from "./AnswerTooLargeError.js";
import type { CallError, HttpAnswer } from "./HttpCall.js";

/**
 * Reads a body to its end; an answer that was broken off is an error.
 * @param timeoutMs - How long the whole body may take.
 * @param stallMs - How long nothing may come. A body whose size is not known needs this bound rather than one of the whole: what takes
 *   longer than its time-out is never read, however often it is asked for, and each time fills the link in vain.
 */
export function readBody(
  answer: HttpAnswer,
  address: string,
  maxBytes: number,
  timeoutMs: number,
  stallMs = timeoutMs,
): Promise<results.Result<Buffer, CallError>> {
  const done = new utils.Deferred<results.Result<Buffer, CallError>>();
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  const fail = (error: CallError): void => {
    done.resolve(results.Err(error));
    answer.abort();
  };
  const failLate = (boundMs: number): void =>
    fail(new errors.DeadlineError(`The body of ${address}`, boundMs));
  const timer = setTimeout(failLate, timeoutMs, timeoutMs);
  let stallTimer = setTimeout(failLate, stallMs, stallMs);
  answer.message.on("data", (part: Buffer) => {
    clearTimeout(stallTimer);
    stallTimer = setTimeout(failLate, stallMs, stallMs);
    sizeBytes += part.length;
    parts.push(part);
    if (sizeBytes > maxBytes) fail(new AnswerTooLargeError(address, maxBytes));
  });
  answer.message.on("end", () => {
    void answer.isWhole().then((isWhole) => {
      if (isWhole) done.resolve(results.Ok(Buffer.concat(parts)));
      else fail(new errors.ConnectionLostError(address));
    });
  });
  answer.message.on("error", (error) => fail(new errors.ConnectionLostError(address, error)));
  answer.message.on("close", () => {
    if (!answer.message.complete) done.resolve(results.Err(new errors.ConnectionLostError(address)));
  });
  return done.promise.finally(() => {
    clearTimeout(timer);
    clearTimeout(stallTimer);
  });
}
