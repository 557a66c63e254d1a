/** How the connection of an answer without a length ended. */
import type * as http from "node:http";

/** An empty line, which a server ignores before a request (RFC 9112, section 2.2). */
const emptyLine = "\r\n";

/**
 * Tells how the connection of an answer without a length ended. A reset that is read together with data reaches Node as an
 * ordinary end (libuv reports a hang-up after a partial read as such), and only a write shows that the connection is reset.
 */
export function watchEnding(message: http.IncomingMessage): Promise<"closed" | "reset"> {
  const { socket } = message;
  return new Promise((resolve) => {
    socket.prependOnceListener("error", () => resolve("reset"));
    socket.prependOnceListener("end", () => {
      socket.write(emptyLine, (error) => resolve(error === undefined || error === null ? "closed" : "reset"));
    });
    socket.once("close", () => resolve("reset"));
  });
}
