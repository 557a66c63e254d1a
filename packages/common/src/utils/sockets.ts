/** Helpers for sockets. */
import type * as net from "node:net";

/**
 * Resets a connection. One that has ended on either side is only destroyed: a reset of it fails inside Node and leaves
 * its handle open for ever.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.readableEnded || socket.writableEnded || socket.destroyed) socket.destroy();
  else socket.resetAndDestroy();
}
