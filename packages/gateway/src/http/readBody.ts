/** Reading of answer bodies with limits on size and time. */
import { errors, results, utils } from "@shedtiller/common";
import { AnswerTooLargeError } from "./AnswerTooLargeError.js";
import { ByteCollector } from "./ByteCollector.js";
import { EndlessAnswerError } from "./EndlessAnswerError.js";
import { checkFraming } from "./framing.js";
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
  const collector = new ByteCollector();
  const fail = (error: CallError): void => {
    done.resolve(results.Err(error));
    answer.abort();
  };
  const failTimedOut = (limitMs: number): void =>
    fail(new errors.DeadlineError(`The body of ${address}`, limitMs));
  const cancel = (): void => fail(new errors.CancelledError(`The body of ${address}`));
  const buffer = answer.memory?.open(() =>
    fail(new EndlessAnswerError(address, "buffers", answer.memory?.maxBytes ?? 0)),
  );
  const timeout = new utils.IoTimeout(timeoutMs, () => failTimedOut(timeoutMs));
  let stall = new utils.IoTimeout(stallMs, () => failTimedOut(stallMs));
  answer.message.on("data", (chunk: Buffer) => {
    stall.clear();
    stall = new utils.IoTimeout(stallMs, () => failTimedOut(stallMs));
    if (collector.sizeBytes + chunk.length > maxBytes)
      return fail(new AnswerTooLargeError(address, maxBytes));
    collector.append(chunk);
    const endless = checkFraming(answer, address, collector.sizeBytes);
    if (endless !== undefined) return fail(endless);
    buffer?.resize(collector.capacityBytes);
  });
  answer.message.on("end", () => {
    void answer.isWhole().then((isWhole) => {
      if (isWhole) done.resolve(results.Ok(collector.bytes));
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
    buffer?.close();
  });
}
