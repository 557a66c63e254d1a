import type * as http from "node:http";
import { connections } from "@shedtiller/common";
import { ApiError, sendError, toErrorBody, type ApiErrorType } from "./apiErrors.js";

const messages: Readonly<Record<connections.ReadFault["reason"], string>> = {
  "invalid-request": "The bytes are no request.",
  "head-too-large": "The head of the request is too large.",
  "head-too-late": "The head of the request was not completed in time.",
  "body-too-large": "The body of the request is too large.",
  stopping: "The instance stops.",
};
const lowestServerStatus = 500;

/** Writes the refusals of bytes that are no request as error objects. */
export class ApiFaultWriter extends connections.FaultWriter {
  override refuse(response: http.ServerResponse, fault: connections.ReadFault): void {
    response.setHeader("connection", "close");
    sendError(response, toError(fault));
  }

  override getContent(fault: connections.ReadFault): { type: string; body: string } {
    return { type: "application/json", body: JSON.stringify(toErrorBody(toError(fault))) };
  }
}

function toError({ status, reason }: connections.ReadFault): ApiError {
  const type: ApiErrorType = status >= lowestServerStatus ? "overloaded_error" : "invalid_request_error";
  return new ApiError(status, type, reason.replaceAll("-", "_"), messages[reason]);
}
