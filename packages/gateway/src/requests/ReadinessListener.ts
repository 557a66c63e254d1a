/** Answers the balancer's question whether this instance takes new connections. */
import * as http from "node:http";

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

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once("error", reject);
      this._server.listen(this._port, this._host, resolve);
    });
  }

  close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }
}
