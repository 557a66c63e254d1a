/** Base class of the HTTP stand-ins. */
import type * as http from "node:http";
import type * as net from "node:net";
import { utils } from "@shedtiller/common";
import * as restify from "restify";
import { ReservedPort } from "./network/ReservedPort.js";

export const loopback = "127.0.0.1";

/** HTTP server on loopback that can be killed and restarted on the same port. Tracks its connections in order to reset them. */
export abstract class HttpStandIn {
  protected readonly server: restify.Server;
  private readonly _sockets = new Set<net.Socket>();
  private _port = 0;
  private _reserved: ReservedPort | undefined;

  /** @param name - Name of the stand-in, unique in its fleet. */
  constructor(readonly name: string) {
    this.server = restify.createServer({ name });
    this.server.use(restify.plugins.queryParser());
    this.server.use(restify.plugins.bodyParser({ mapParams: false }));
    this.httpServer.on("connection", (socket: net.Socket) => this._trackSocket(socket));
  }

  /** The underlying Node.js server of the restify server. */
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

  /** Starts listening. A free port is chosen and reserved until `close` if `port` is 0. */
  async start(port = 0): Promise<void> {
    if (port === 0) this._reserved = await ReservedPort.listen(this.httpServer, loopback);
    else await listen(this.httpServer, port);
    this._port = this._reserved?.port ?? port;
  }

  /** Resets all connections and refuses new ones, as the crash of a process does. */
  async kill(): Promise<void> {
    const closed = new Promise((resolve) => this.httpServer.close(resolve));
    for (const socket of this._sockets) utils.resetSocket(socket);
    await closed;
  }

  /** Starts listening again on the previous port. */
  async restart(): Promise<void> {
    await listen(this.httpServer, this._port);
  }

  /** Stops the server permanently. */
  async close(): Promise<void> {
    if (this.httpServer.listening) await this.kill();
    this._reserved?.release();
  }

  private _trackSocket(socket: net.Socket): void {
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
