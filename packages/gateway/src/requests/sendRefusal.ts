/** Refusals of our own: why the gateway itself ends a request, and the answer that says so. */
import type * as http from "node:http";

/** Why the gateway itself ended a request. */
export type RefusalReason =
  | "stopping"
  | "no-configuration"
  | "stale-configuration"
  | "no-route"
  | "no-key"
  | "unknown-key"
  | "body-too-large"
  | "no-endpoint"
  | "no-room"
  /** All endpoints that could take it have had what their limits allow. */
  | "limited"
  /** The endpoints that could take it have asked for rest past its deadline. */
  | "resting"
  | "held-back"
  | "not-run"
  | "outcome-unknown"
  | "out-of-time";

/** Sends a refusal of our own; the body names the reason for a person who looks. */
export function sendRefusal(
  response: http.ServerResponse,
  status: number,
  reason: RefusalReason,
  headers: Record<string, string>,
  isLast: boolean,
): void {
  const body = Buffer.from(JSON.stringify({ error: reason }));
  response.writeHead(status, {
    ...headers,
    "Content-Type": "application/json",
    "Content-Length": body.length,
    ...(isLast ? { Connection: "close" } : {}),
  });
  response.end(body);
}
