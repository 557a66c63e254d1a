/** Answers the balancer's question whether this instance takes new connections. */
import * as http from "node:http";
import { startListening, stopListening } from "../http/startListening.js";

const readyStatus = 200;
const notReadyStatus = 503;

/** One listener an instance; the answer is computed at each question. */
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

  /** Resolves once it listens. */
  listen(): Promise<void> {
    return startListening(this._server, { host: this._host, port: this._port });
  }

  /** Ends all connections. */
  close(): void {
    stopListening(this._server);
  }
}
