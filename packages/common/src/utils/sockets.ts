/** Helpers for TCP sockets. */
import type * as net from "node:net";

/**
 * Closes a connection with a TCP reset. A connection that either side has ended is destroyed without a reset: resetting it fails inside
 * Node.js and leaks the socket handle.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.readableEnded || socket.writableEnded || socket.destroyed) socket.destroy();
  else socket.resetAndDestroy();
}
