import type * as http from "node:http";

const requestLineExtra = "  HTTP/1.1\r\n".length;
const headerLineExtra = ": \r\n".length;
const endOfHead = "\r\n".length;

/** Returns the size of a request's head, as it is usually written. */
export function getHeadBytes({ method = "", url = "", rawHeaders }: http.IncomingMessage): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, method.length + url.length);
  return textBytes + requestLineExtra + (rawHeaders.length / 2) * headerLineExtra + endOfHead;
}
