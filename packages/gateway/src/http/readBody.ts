/** Reads the body of an answer within bounds of size and time. */
import { errors, results, utils } from "@shedtiller/common";
import { AnswerTooLargeError } from "./AnswerTooLargeError.js";
import type { CallError, HttpAnswer } from "./HttpCall.js";

/** Reads a body to its end; an answer that was broken off is an error. */
export function readBody(
  answer: HttpAnswer,
  address: string,
  maxBytes: number,
  timeoutMs: number,
): Promise<results.Result<Buffer, CallError>> {
  const done = new utils.Deferred<results.Result<Buffer, CallError>>();
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  const timer = setTimeout(
    () => fail(new errors.DeadlineError(`The body of ${address}`, timeoutMs)),
    timeoutMs,
  );
  const fail = (error: CallError): void => {
    done.resolve(results.Err(error));
    answer.abort();
  };
  answer.message.on("data", (part: Buffer) => {
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
  return done.promise.finally(() => clearTimeout(timer));
}
