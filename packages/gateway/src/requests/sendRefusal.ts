/** Rejections by the gateway itself. */
import type * as http from "node:http";
import * as stream from "node:stream";

/** Time for which the rest of a rejected body is read; a caller that sends for longer does not heed the answer. */
const maxBodyReadMs = 1_000;

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
  if (isLast && !response.req.complete && !response.req.destroyed) endAfterBody(response, body);
  else response.end(body);
}

/**
 * Sends the whole answer, and ends the connection once the body of the request has been read. A connection that is closed with unread bytes
 * is reset, and the caller may lose the answer.
 */
function endAfterBody(response: http.ServerResponse, body: Buffer): void {
  response.write(body);
  // After a pause of the process, timers come before what has arrived in the meantime.
  const timer = setTimeout(() => setImmediate(() => response.end()), maxBodyReadMs);
  const stopWatching = stream.finished(response.req, () => response.end());
  response.once("close", () => {
    clearTimeout(timer);
    stopWatching();
  });
  response.req.resume();
}
