/** Errors as sent to callers and operators: OpenAI's error object, extended by whether the request has run. */
import type * as http from "node:http";
import { errors, type ExecutionStatus } from "@shedtiller/common";

/** Types of OpenAI's error object. */
export type ApiErrorType =
  | "invalid_request_error"
  | "authentication_error"
  | "permission_error"
  | "not_found_error"
  | "rate_limit_error"
  | "overloaded_error"
  | "api_error";

/** Error with its HTTP status, and its type and code in OpenAI's error object. */
export class ApiError extends errors.ShedtillerError {
  constructor(
    readonly status: number,
    readonly type: ApiErrorType,
    readonly code: string,
    message: string,
    readonly ran: ExecutionStatus = "no",
    readonly retryAfterMs?: number,
  ) {
    super(message);
  }
}

/** Header that states whether the request has run. */
export const ranHeader = "shedtiller-ran";
/** Header with the id of the request in logs and in the timeline. */
export const requestIdHeader = "shedtiller-request-id";
const msPerSecond = 1000;

/** Returns the body of an error response. */
export function toErrorBody(error: ApiError): {
  error: { type: string; code: string; message: string; ran: ExecutionStatus };
} {
  return { error: { type: error.type, code: error.code, message: error.message, ran: error.ran } };
}

/** Sends an error, or ends the response if its headers have been sent already. */
export function sendError(response: http.ServerResponse, error: ApiError): void {
  if (response.headersSent) {
    response.end();
    return;
  }
  const body = JSON.stringify(toErrorBody(error));
  const headers: http.OutgoingHttpHeaders = { "content-type": "application/json", [ranHeader]: error.ran };
  if (error.retryAfterMs !== undefined) {
    headers["retry-after"] = String(Math.max(1, Math.ceil(error.retryAfterMs / msPerSecond)));
  }
  response.writeHead(error.status, headers);
  response.end(body);
}

/** Sends a value as JSON. */
export function sendJson(response: http.ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

const statusByCode: Readonly<Record<string, [status: number, type: ApiErrorType]>> = {
  no_endpoints: [503, "overloaded_error"],
  held_back: [503, "overloaded_error"],
  deadline_passed: [504, "api_error"],
  cancelled: [499, "api_error"],
  not_admitted: [429, "rate_limit_error"],
  claim_refused: [503, "overloaded_error"],
  outcome_unknown: [409, "api_error"],
  service_unreachable: [503, "overloaded_error"],
  service_lost: [502, "api_error"],
};
const defaultRetryAfterMs = 1_000;

/** Converts an error of another component into the error that is sent to the caller. */
export function toApiError(
  error: errors.ShedtillerError & { ran: ExecutionStatus; retryAfterMs?: number },
): ApiError {
  const [status, type] = statusByCode[error.code] ?? [500, "api_error"];
  const retryAfterMs = error.retryAfterMs ?? (status === 503 ? defaultRetryAfterMs : undefined);
  return new ApiError(status, type, error.code, error.message, error.ran, retryAfterMs);
}
