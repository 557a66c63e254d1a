/** What a failed HTTP call proves about the other side. */
import { errors } from "@shedtiller/common";
import * as got from "got";

const neverConnectedCodes = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENETDOWN",
  "EADDRNOTAVAIL",
  "EINVAL",
  "ENOTFOUND",
]);
const neverConnectedPhases = new Set(["lookup", "connect", "secureConnect"]);

/**
 * Tells a connection that never stood, on which nothing was written, from one that was lost.
 * Only calls on fresh connections may rely on it: on a kept one a reset can come after the write.
 */
export function classifyHttpError(
  address: string,
  error: unknown,
): errors.NotReachedError | errors.ConnectionLostError {
  if (error instanceof got.TimeoutError && neverConnectedPhases.has(error.event)) {
    return new errors.NotReachedError(address, error);
  }
  if (error instanceof got.RequestError && neverConnectedCodes.has(error.code)) {
    return new errors.NotReachedError(address, error);
  }
  return new errors.ConnectionLostError(address, error);
}
