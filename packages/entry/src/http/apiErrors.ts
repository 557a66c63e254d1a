/** Errors as callers and operators see them: OpenAI's error object, with what is known of the request's having run. */
import type * as http from "node:http";
import { errors, type ExecutionStatus } from "@shedtiller/common";

export type ApiErrorType =
  | "invalid_request_error"
  | "authentication_error"
  | "permission_error"
  | "not_found_error"
  | "rate_limit_error"
  | "overloaded_error"
  | "api_error";

/** What is told to a caller. */
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

export const ranHeader = "shedtiller-ran";
/** Id under which the instance ran the request, for the time line. */
export const requestIdHeader = "shedtiller-request-id";
const msPerSecond = 1000;

/** Body of an error. */
export function toErrorBody(error: ApiError): {
  error: { type: string; code: string; message: string; ran: ExecutionStatus };
} {
  return { error: { type: error.type, code: error.code, message: error.message, ran: error.ran } };
}

/** Sends an error, unless something was sent already. */
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
const comeBackMs = 1_000;

/** Turns a typed failure of a part into what the caller is told. */
export function toApiError(
  error: errors.ShedtillerError & { ran: ExecutionStatus; retryAfterMs?: number },
): ApiError {
  const [status, type] = statusByCode[error.code] ?? [500, "api_error"];
  const retryAfterMs = error.retryAfterMs ?? (status === 503 ? comeBackMs : undefined);
  return new ApiError(status, type, error.code, error.message, error.ran, retryAfterMs);
}
