/** The HTTP server for the load balancer's readiness probes. */
import * as http from "node:http";
import { utils } from "@shedtiller/common";
import { stopListening } from "../http/stopListening.js";

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
  listen(options?: utils.ListenOptions): Promise<void> {
    return utils.listen(this._server, { host: this._host, port: this._port }, options);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    stopListening(this._server);
  }
}
