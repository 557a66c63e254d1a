/** Rejections by the gateway itself. */
import * as http from "node:http";

/** Reason for which the gateway itself ended a request. */
export type RefusalReason =
  | "stopping"
  /** This instance is overloaded, and another one has room. */
  | "overloaded"
  | "no-configuration"
  | "stale-configuration"
  | "no-route"
  | "no-key"
  | "unknown-key"
  | "body-too-large"
  /** The bytes are no request. */
  | "invalid-request"
  | "head-too-large"
  /** The head of the request was not completed in time. */
  | "head-too-late"
  | "no-endpoint"
  /** This instance reaches no endpoint, neither directly nor through a peer. */
  | "isolated"
  | "no-room"
  /** More urgent requests need the capacity that is left. */
  | "less-urgent"
  /** The client account has more than its fair share of the requests. */
  | "account-share"
  /** The rate limits of all suitable endpoints are exhausted. */
  | "limited"
  /** The suitable endpoints back off beyond the deadline of the request. */
  | "resting"
  | "held-back"
  | "not-run"
  /** An error of this instance. */
  | "failed"
  | "outcome-unknown"
  | "out-of-time";

/**
 * Sends a rejection by the gateway itself; its body contains the reason.
 * @param isLast - Whether the connection closes after this answer.
 */
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

/** Returns the bytes of a rejection that answers no request in particular, after which the connection ends. */
export function formatRefusal(status: number, reason: RefusalReason): string {
  const body = JSON.stringify({ error: reason });
  const lines = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
    "Content-Type: application/json",
    `Content-Length: ${body.length}`,
    "Connection: close",
  ];
  return [...lines, "", body].join("\r\n");
}
