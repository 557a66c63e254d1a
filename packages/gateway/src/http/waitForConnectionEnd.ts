/** Distinction between closed and reset connections. */
import type * as net from "node:net";

/** An empty line, which servers ignore before a request (RFC 9112, section 2.2). */
const emptyLine = "\r\n";

/**
 * Resolves with the way in which the connection to a server ended. Node reports a reset that is read together with data as an ordinary end
 * (libuv treats a hang-up after a partial read as such), and only a write reveals that the connection was reset.
 */
export function waitForConnectionEnd(socket: net.Socket): Promise<"closed" | "reset"> {
  return new Promise((resolve) => {
    socket.prependOnceListener("error", () => resolve("reset"));
    socket.prependOnceListener("end", () => {
      socket.write(emptyLine, (error) => resolve(error === undefined || error === null ? "closed" : "reset"));
    });
    socket.once("close", () => resolve("reset"));
  });
}
