/** Reasons for which bytes of a caller can't be read as a request. */
import type { RefusalReason } from "./sendRefusal.js";

/** How a caller is told that its bytes can't be read. */
export interface ReadFault {
  readonly status: number;
  readonly reason: RefusalReason;
}

/** The bytes of a caller are no request that this instance serves. */
export const invalidRequest: ReadFault = { status: 400, reason: "invalid-request" };
export const headTooLate: ReadFault = { status: 408, reason: "head-too-late" };
const faultsByCode: ReadonlyMap<string | undefined, ReadFault> = new Map<string, ReadFault>([
  ["HPE_HEADER_OVERFLOW", { status: 431, reason: "head-too-large" }],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", { status: 413, reason: "body-too-large" }],
  ["ERR_HTTP_REQUEST_TIMEOUT", headTooLate],
]);

/** Returns how the caller is told of an error of its connection; undefined if the connection itself has failed. */
export function toReadFault(error: NodeJS.ErrnoException): ReadFault | undefined {
  if (error.syscall !== undefined) return undefined;
  return faultsByCode.get(error.code) ?? invalidRequest;
}
