/** Stop of HTTP servers. */
import type * as http from "node:http";
import * as net from "node:net";

/** Stops a server and closes all of its connections. */
export function stopListening(server: http.Server): void {
  server.close();
  server.closeAllConnections();
}

/** Stops accepting connections. Unlike `server.close()`, this closes no connection that waits for a request, and goes on to check heads that are late. */
export function closeListeningSocket(server: http.Server): void {
  net.Server.prototype.close.call(server);
}
