/** Parsing of the headers and bodies that all handlers of the callers' interface have in common. */
import { utils } from "@shedtiller/common";
import type * as restify from "restify";
import type * as http from "node:http";
import { ApiError } from "./apiErrors.js";

const deadlineHeader = "shedtiller-deadline-ms";
const badRequestStatus = 400;

/** Aborts `controller` if the caller disconnects before the answer has been sent. */
export function abortOnDisconnect(response: http.ServerResponse, controller: AbortController): void {
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
}

/** Returns the monotonic time after which the caller no longer needs the answer. */
export function getDeadlineMs(request: restify.Request, maxMs: number): number {
  const text = request.header(deadlineHeader);
  if (text === undefined || text === "") return utils.monotonicMs() + maxMs;
  const requestedMs = Number(text);
  if (!Number.isFinite(requestedMs) || requestedMs <= 0) {
    throw new ApiError(
      badRequestStatus,
      "invalid_request_error",
      "invalid_header",
      `${deadlineHeader} must be a number of milliseconds.`,
    );
  }
  return utils.monotonicMs() + Math.min(requestedMs, maxMs);
}

/** Returns the idempotency key, which must be a time-stamped UUID; undefined if there is none. */
export function getIdempotencyKey(request: restify.Request): string | undefined {
  const key = request.header("idempotency-key");
  if (key === undefined || key === "") return undefined;
  if (utils.getIdTimeMs(key) !== undefined) return key;
  throw new ApiError(
    badRequestStatus,
    "invalid_request_error",
    "invalid_idempotency_key",
    "Idempotency-Key must be a time-stamped UUID (version 7).",
  );
}

/** Parses a body as JSON; throws an error for the caller if it is missing or invalid. */
export function parseJson(body: unknown): unknown {
  const text = typeof body === "string" ? body : Buffer.isBuffer(body) ? body.toString("utf8") : undefined;
  if (text === undefined || text === "") {
    throw new ApiError(badRequestStatus, "invalid_request_error", "invalid_json", "The body is missing.");
  }
  try {
    return JSON.parse(text);
  } catch {
    throw new ApiError(
      badRequestStatus,
      "invalid_request_error",
      "invalid_json",
      "The body is not valid JSON.",
    );
  }
}
