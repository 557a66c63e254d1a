/** Splitting of requests that arrive together on a connection. */

const headEnd = "\r\n\r\n";
const lengthPattern = /^content-length:[ \t]*(\d+)[ \t]*\r?$/im;
const chunkedPattern = /^transfer-encoding:/im;

/**
 * Returns the heads of the requests in a text, the last of which may be incomplete. What follows a body that has not arrived whole, or that is
 * sent in chunks, is not looked at.
 */
export function splitHeads(text: string): string[] {
  const heads: string[] = [];
  for (let at = 0; at < text.length;) {
    const end = text.indexOf(headEnd, at);
    const head = text.slice(at, end < 0 ? undefined : end);
    heads.push(head);
    if (end < 0 || chunkedPattern.test(head)) break;
    at = end + headEnd.length + Number(lengthPattern.exec(head)?.[1] ?? 0);
  }
  return heads;
}
