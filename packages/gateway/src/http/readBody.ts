/** Reading of answer bodies with limits on size and time. */
import { errors, results, utils } from "@shedtiller/common";
import { AnswerTooLargeError } from "./AnswerTooLargeError.js";
import type { CallError, HttpAnswer } from "./HttpCall.js";

/**
 * Reads a body to its end; returns an error if the answer is incomplete. Closes the connection if the signal of the answer aborts, since the
 * server would otherwise work on for nobody.
 * @param timeoutMs - Maximum time for the whole body.
 * @param stallMs - Maximum time between two chunks. A body of unknown size needs this limit rather than a short `timeoutMs`: a body that
 *   takes longer than `timeoutMs` fails at each retry as well, and each retry occupies the link for nothing.
 */
export function readBody(
  answer: HttpAnswer,
  address: string,
  maxBytes: number,
  timeoutMs: number,
  stallMs = timeoutMs,
): Promise<results.Result<Buffer, CallError>> {
  const done = new utils.Deferred<results.Result<Buffer, CallError>>();
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  const fail = (error: CallError): void => {
    done.resolve(results.Err(error));
    answer.abort();
  };
  const failTimedOut = (limitMs: number): void =>
    fail(new errors.DeadlineError(`The body of ${address}`, limitMs));
  const cancel = (): void => fail(new errors.CancelledError(`The body of ${address}`));
  const timeout = new utils.IoTimeout(timeoutMs, () => failTimedOut(timeoutMs));
  let stall = new utils.IoTimeout(stallMs, () => failTimedOut(stallMs));
  answer.message.on("data", (chunk: Buffer) => {
    stall.clear();
    stall = new utils.IoTimeout(stallMs, () => failTimedOut(stallMs));
    sizeBytes += chunk.length;
    chunks.push(chunk);
    if (sizeBytes > maxBytes) fail(new AnswerTooLargeError(address, maxBytes));
  });
  answer.message.on("end", () => {
    void answer.isWhole().then((isWhole) => {
      if (isWhole) done.resolve(results.Ok(Buffer.concat(chunks)));
      else fail(new errors.ConnectionLostError(address));
    });
  });
  answer.message.on("error", (error) => fail(new errors.ConnectionLostError(address, error)));
  answer.message.on("close", () => {
    if (!answer.message.complete) done.resolve(results.Err(new errors.ConnectionLostError(address)));
  });
  answer.signal?.addEventListener("abort", cancel, { once: true });
  if (answer.signal?.aborted === true) cancel();
  return done.promise.finally(() => {
    answer.signal?.removeEventListener("abort", cancel);
    timeout.clear();
    stall.clear();
  });
}
