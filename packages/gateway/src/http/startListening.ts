/** The beginning and the end of a server's listening. */
import type * as http from "node:http";
import type * as net from "node:net";

/** Resolves once the server listens; rejects where it cannot. */
export function startListening(server: http.Server, options: net.ListenOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options, resolve);
  });
}

/** Ends the listening and all connections. */
export function stopListening(server: http.Server): void {
  server.close();
  server.closeAllConnections();
}
