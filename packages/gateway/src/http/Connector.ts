/** Establishes the connections of an HTTP client, directly or through a peer. */
import type * as net from "node:net";
import type { errors, results } from "@shedtiller/common";

/** How a connection reaches its server. */
export interface ConnectionPath {
  /** Name of the peer that forwards the bytes. */
  readonly peer: string;
  /** Identifies the tunnel in the logs of both instances. */
  readonly tunnelId: string;
}

/** An established connection; `path` is undefined for a direct one. */
export interface Connection {
  readonly socket: net.Socket;
  readonly path: ConnectionPath | undefined;
}

/** Why no direct connection came about: the server's machine refused it, or nothing answered. */
export type ConnectFailure = "refused" | "unanswered";

/** Called when the paths to an address have changed, so that some of its connections are of no use any more. */
export type PathListener = (address: string, failure: ConnectFailure | undefined) => void;

/** Establishes connections. The client reports what it observes on them, so that the connector learns which paths work. */
export abstract class Connector {
  /** Connects to an address. An error proves that nothing was sent. */
  abstract connect(
    address: string,
    options: net.TcpNetConnectOpts,
  ): Promise<results.Result<Connection, errors.NotReachedError>>;

  /** Returns the path of a connection; undefined for a direct one. */
  abstract getPath(socket: object): ConnectionPath | undefined;

  /** Returns whether a connection that is not in use may serve another request. */
  abstract mayReuse(socket: object): boolean;

  /**
   * Records that a call on a direct connection gets no answer for longer than usual.
   * @returns Whether the direct path is known to be cut, so that no answer will come.
   */
  abstract noteSilence(address: string): boolean;

  /**
   * Returns whether the server closed a connection, rather than resetting it. A tunnel also ends if its peer is killed, which looks like a
   * close here.
   */
  abstract wasClosedByServer(socket: object): Promise<boolean>;

  /** Calls `listener` with the address and with why direct connections fail, or undefined once they succeed again. */
  abstract onPathChanged(listener: PathListener): void;
}
