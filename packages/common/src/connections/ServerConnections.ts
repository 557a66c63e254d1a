import type * as http from "node:http";
import type * as net from "node:net";
import * as tls from "node:tls";
import type { FaultWriter } from "./FaultWriter.js";
import { readArrived } from "../utils/readArrived.js";
import { ServerConnection, type CallerEnd } from "./ServerConnection.js";
import { headTooLate, invalidRequest, toReadFault, type ReadFault } from "./toReadFault.js";

/** Dependencies of {@link ServerConnections}. */
export interface ServerConnectionsStructure {
  readonly server: http.Server;
  readonly writer: FaultWriter;
  /** Called when bytes can't be read as a request. */
  readonly onFault: (cause: string, fault: ReadFault, connection: ServerConnection) => void;
  /** Called once it is known what became of a caller that ended its sending half before its answers. */
  readonly onCallerEnd?: (end: CallerEnd, connection: ServerConnection) => void;
}

/**
 * The open connections of an HTTP server. Node itself closes connections with requests in progress: when the other side ends its sending
 * half, on bytes that are no request, and by timers that run before what has arrived is read. Its `closeIdleConnections` also closes
 * connections to which the end of an answer has been passed but not yet written.
 */
export class ServerConnections {
  private readonly _connections = new Map<net.Socket, ServerConnection>();

  constructor(private readonly _structure: ServerConnectionsStructure) {
    const { server } = _structure;
    // Not part of Node's types. Without it, Node ends a connection when the other side ends its sending half.
    Object.assign(server, { httpAllowHalfOpen: true });
    const opened = server instanceof tls.Server ? "secureConnection" : "connection";
    server.on(opened, (socket: net.Socket) => void this.get(socket));
    server.on("timeout", (socket: net.Socket) => void this.get(socket).endIfSilent());
    // Sockets are the only streams of a server.
    server.on("clientError", (error, socket) => this._noteError(error, socket as net.Socket));
    server.on("connect", (message, socket) => {
      // Node removes its own listeners; without one for errors, a reset would end the process.
      socket.on("error", (error) => this._noteError(error, message.socket));
      this.get(message.socket).fail(invalidRequest);
      socket.resume();
    });
  }

  /** Returns the connection of a socket, which is added if it is new. */
  get(socket: net.Socket): ServerConnection {
    return this._connections.get(socket) ?? this._add(socket);
  }

  /** Whether a request is in progress, or has begun to arrive. */
  get isBusy(): boolean {
    return [...this._connections.values()].some(({ isBusy }) => isBusy);
  }

  /** Whether the first request of a connection has not begun to arrive. */
  get hasUnused(): boolean {
    return [...this._connections.values()].some(({ isUnused }) => isUnused);
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

  private _add(socket: net.Socket): ServerConnection {
    const handshakeBytes = socket instanceof tls.TLSSocket ? socket.bytesRead : 0;
    const { writer, onCallerEnd } = this._structure;
    const connection = new ServerConnection(socket, writer, handshakeBytes, onCallerEnd);
    this._connections.set(socket, connection);
    socket.once("close", () => this._connections.delete(socket));
    return connection;
  }

  private _noteError(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const { server, onFault } = this._structure;
    const fault = toReadFault(error);
    if (fault === undefined) return void socket.destroy();
    const connection = this.get(socket);
    // The time for a head begins with its first byte.
    if (fault === headTooLate && socket.bytesRead === 0) return connection.awaitMore(server.keepAliveTimeout);
    onFault(error.code ?? String(error), fault, connection);
    if (fault === headTooLate) void connection.failIfSilent(fault, server.headersTimeout);
    else connection.fail(fault);
  }
}
