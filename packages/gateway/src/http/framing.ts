/** Limits on the bytes of an answer that are not its body. */
import { EndlessAnswerError } from "./EndlessAnswerError.js";
import type { HttpAnswer } from "./HttpCall.js";

/** Maximum size of all that comes up to the end of the headers, with interim answers; Node limits one head to 16 KB. */
export const maxHeadBytes = 64 * 1024;
/** Maximum bytes received for each byte of a body; a chunk of one byte has five more. */
const maxBytesPerBodyByte = 16;

/** Returns an error if the answer has far more framing, such as extensions of chunks, than body. */
export function checkFraming(
  { receivedBytes = 0 }: Pick<HttpAnswer, "receivedBytes">,
  address: string,
  bodyBytes: number,
): EndlessAnswerError | undefined {
  const maxBytes = maxHeadBytes + maxBytesPerBodyByte * bodyBytes;
  return receivedBytes > maxBytes ? new EndlessAnswerError(address, "framing", maxBytes) : undefined;
}
