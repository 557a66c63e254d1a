import * as http from "node:http";
import type * as net from "node:net";
import type { Duplex } from "node:stream";
import type { Connector } from "./Connector.js";

type CreateCallback = (error: Error | null, socket: Duplex) => void;

/** HTTP agent whose connections a {@link Connector} establishes, once there is one. */
export class ConnectorAgent extends http.Agent {
  protected connector: Connector | undefined;

  /** Establishes all further connections with `connector`. */
  useConnector(connector: Connector): void {
    this.connector = connector;
  }

  /** Closes the idle connections to an address that may not be used any more. */
  closeStaleConnections(address: string): void {
    for (const socket of this.getIdleSockets(address)) {
      if (this.connector?.mayReuse(socket) === false) socket.destroy();
    }
  }

  /** Returns the idle connections to an address, which consists of IP and port. */
  protected getIdleSockets(address: string): net.Socket[] {
    // The keys of Node's socket lists consist of host, port and further options, separated by colons.
    return Object.entries(this.freeSockets)
      .filter(([name]) => name.startsWith(`${address}:`))
      .flatMap(([, sockets]) => sockets ?? []);
  }

  override createConnection(
    options: http.ClientRequestArgs,
    callback?: CreateCallback,
  ): Duplex | null | undefined {
    const { connector } = this;
    if (connector === undefined) return super.createConnection(options, callback);
    const connectOptions = options as net.TcpNetConnectOpts;
    const address = `${connectOptions.host}:${connectOptions.port}`;
    void connector.connect(address, connectOptions).then((connected) => {
      if (connected.ok) callback?.(null, connected.val.socket);
      else fail(callback, connected.val);
    });
    return undefined;
  }
}

/** Passes an error to a callback whose type declaration requires a connection even then. */
function fail(callback: CreateCallback | undefined, error: Error): void {
  (callback as ((error: Error) => void) | undefined)?.(error);
}
