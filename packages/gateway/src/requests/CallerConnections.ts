import type * as net from "node:net";
import { CallerConnection } from "./CallerConnection.js";
import { readArrived } from "./readArrived.js";

/**
 * The open connections of callers. Node's own `closeIdleConnections` also closes connections to which the end of an answer has been passed
 * but not yet written, which cuts the answers of callers on slow links.
 */
export class CallerConnections {
  private readonly _connections = new Map<net.Socket, CallerConnection>();

  /** Returns the connection of a socket, which is added if it is new. */
  get(socket: net.Socket): CallerConnection {
    return this._connections.get(socket) ?? this._add(socket);
  }

  /** Whether a request is in progress, or has begun to arrive. */
  get isBusy(): boolean {
    return [...this._connections.values()].some(({ isBusy }) => isBusy);
  }

  /** Closes the connections on which all answers have been written and no further request has arrived. */
  async closeIdle(): Promise<void> {
    await readArrived();
    for (const connection of this._connections.values()) connection.stop();
  }

  /** Applies a longer idle time to the connections that wait for a request already. */
  raiseIdleTimeout(timeoutMs: number): void {
    for (const connection of this._connections.values()) connection.raiseIdleTimeout(timeoutMs);
  }

  private _add(socket: net.Socket): CallerConnection {
    const connection = new CallerConnection(socket);
    this._connections.set(socket, connection);
    socket.once("close", () => this._connections.delete(socket));
    return connection;
  }
}
