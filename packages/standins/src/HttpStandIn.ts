/** Base of the stand-ins: an HTTP server on loopback that can die, hang and come back on the same port. */
import type * as http from "node:http";
import type * as net from "node:net";
import { errors, utils } from "@shedtiller/common";
import * as restify from "restify";

export const loopback = "127.0.0.1";

/** A restify server whose connections are tracked, so that faults act on real sockets. */
export abstract class HttpStandIn {
  protected readonly server: restify.Server;
  private readonly _sockets = new Set<net.Socket>();
  private _port = 0;

  /** @param name - Name of the stand-in, unique in its fleet. */
  constructor(readonly name: string) {
    this.server = restify.createServer({ name });
    this.server.use(restify.plugins.queryParser());
    this.server.use(restify.plugins.bodyParser({ mapParams: false }));
    this.httpServer.on("connection", (socket: net.Socket) => this._track(socket));
  }

  /** The server under restify's. */
  get httpServer(): http.Server {
    return this.server.server as http.Server;
  }

  /** IP address and port. */
  get address(): string {
    return `${loopback}:${this._port}`;
  }

  get port(): number {
    return this._port;
  }

  /** Listens; on a port that the system picks unless one is given. */
  async start(port = 0): Promise<void> {
    await listen(this.httpServer, port);
    const bound = this.httpServer.address();
    if (bound === null || typeof bound === "string")
      throw new errors.InvariantError("A stand-in has no port.");
    this._port = bound.port;
  }

  /** Vanishes: every connection is reset and new ones are refused. */
  async vanish(): Promise<void> {
    const closed = new Promise((resolve) => this.httpServer.close(resolve));
    for (const socket of this._sockets) utils.resetSocket(socket);
    await closed;
  }

  /** Comes back on the port that it had. */
  async comeBack(): Promise<void> {
    await listen(this.httpServer, this._port);
  }

  /** Ends for good. */
  async close(): Promise<void> {
    if (this.httpServer.listening) await this.vanish();
  }

  private _track(socket: net.Socket): void {
    socket.setNoDelay(true);
    this._sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this._sockets.delete(socket));
  }
}

function listen(server: http.Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, loopback, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}
