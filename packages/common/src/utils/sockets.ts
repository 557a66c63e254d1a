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

/**
 * Closes a connection so that nothing is delivered any more of what was written to it. Bytes that Node.js has not yet passed on to the
 * operating system are dropped; a reset would wait for them.
 */
export function abandonSocket(socket: net.Socket): void {
  if (socket.writableLength > 0) socket.destroy();
  else resetSocket(socket);
}
