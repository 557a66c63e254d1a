/** The HTTP server for the load balancer's readiness probes. */
import * as http from "node:http";
import { startListening, stopListening } from "../http/startListening.js";

const readyStatus = 200;
const notReadyStatus = 503;

/** Answers readiness probes, computing the state at each probe. Each instance has one such listener. */
export class ReadinessListener {
  private readonly _server: http.Server;

  constructor(
    private readonly _host: string,
    private readonly _port: number,
    isReady: () => boolean,
  ) {
    this._server = http.createServer((_message, response) => {
      response.writeHead(isReady() ? readyStatus : notReadyStatus, { "Content-Length": 0 }).end();
    });
  }

  /** Starts to listen; resolves once the port is open. */
  listen(): Promise<void> {
    return startListening(this._server, { host: this._host, port: this._port });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    stopListening(this._server);
  }
}
