/** Classification of failed HTTP calls by whether the server may have received the request. */
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
 * Converts the error of an HTTP call to `NotReachedError` if the connection was never established, so that nothing was written, and to
 * `ConnectionLostError` otherwise. Valid for new connections only: on a reused connection, a reset can occur after the write.
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
