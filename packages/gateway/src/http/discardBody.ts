/** Discarding of bodies that nobody needs. */
import { utils } from "@shedtiller/common";
import type { HttpAnswer } from "./HttpCall.js";

/** Size and time up to which a body is read, so that its connection can be used again. */
const maxDiscardedBytes = 64 * 1024;
const maxDiscardMs = 1_000;

/** Reads a short body to its end, and closes the connection of a longer one. */
export function discardBody(answer: HttpAnswer): void {
  let sizeBytes = 0;
  const timeout = new utils.IoTimeout(maxDiscardMs, () => answer.abort());
  answer.message.on("data", (piece: Buffer) => {
    sizeBytes += piece.length;
    if (sizeBytes > maxDiscardedBytes) answer.abort();
  });
  answer.message.on("close", () => timeout.clear());
}
