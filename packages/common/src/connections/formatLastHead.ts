import * as http from "node:http";

/**
 * Returns the head of an answer that is written to a socket without Node's HTTP server.
 * @param body - The body that follows the head.
 */
export function formatHead(status: number, headers: Readonly<Record<string, string>>, body: string): string {
  const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) }).map(
    ([name, value]) => `${name}: ${value}`,
  );
  return [`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`, ...lines, "", ""].join("\r\n");
}

/** Returns the head of an answer, as {@link formatHead} does, after which the connection ends. */
export function formatLastHead(
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string,
): string {
  return formatHead(status, { ...headers, Connection: "close" }, body);
}
