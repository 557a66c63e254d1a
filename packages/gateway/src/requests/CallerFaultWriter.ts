import type * as http from "node:http";
import { connections } from "@shedtiller/common";
import { sendRefusal } from "./sendRefusal.js";

/** Writes the refusals of callers' bytes that are no request, in the format of all refusals. */
export class CallerFaultWriter extends connections.FaultWriter {
  override refuse(response: http.ServerResponse, { status, reason }: connections.ReadFault): void {
    sendRefusal(response, status, reason, {}, true);
  }

  override getContent({ reason }: connections.ReadFault): { type: string; body: string } {
    return { type: "application/json", body: JSON.stringify({ error: reason }) };
  }
}
