import type * as http from "node:http";
import type * as net from "node:net";

interface ConnectionState {
  /** Number of requests whose answers have not been written to the connection. */
  unanswered: number;
  /** Number of bytes that had been read when the last answer had been written. */
  readBytes: number;
}

/**
 * The connections that have carried a request, by whether they wait for the next one. Node's own `closeIdleConnections` also closes
 * connections to which the end of an answer has been passed but not yet written, which cuts the answers of callers on slow links.
 */
export class CallerConnections {
  private readonly _states = new Map<net.Socket, ConnectionState>();

  /** Records a request, whose answer has been written once `response` closes. */
  add({ socket }: http.IncomingMessage, response: http.ServerResponse): void {
    const state = this._states.get(socket) ?? this._addConnection(socket);
    state.unanswered += 1;
    response.once("close", () => {
      state.unanswered -= 1;
      state.readBytes = socket.bytesRead;
    });
  }

  /** Closes the connections on which all answers have been written and no further request has begun. */
  closeIdle(): void {
    for (const [socket, { unanswered, readBytes }] of this._states)
      if (unanswered === 0 && socket.bytesRead === readBytes) socket.destroy();
  }

  private _addConnection(socket: net.Socket): ConnectionState {
    const state = { unanswered: 0, readBytes: 0 };
    this._states.set(socket, state);
    socket.once("close", () => this._states.delete(socket));
    return state;
  }
}
