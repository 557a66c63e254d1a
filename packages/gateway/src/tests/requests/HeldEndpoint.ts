import type * as http from "node:http";
import { utils } from "@shedtiller/common";
import { generousMs } from "./endpointHandlers.js";
import type { EndpointHandler } from "./GatewayFixture.js";

/** An endpoint that answers each request only once the test releases it. */
export class HeldEndpoint {
  private readonly _held = new Map<string, http.ServerResponse>();
  /** Ids of the requests whose connections were closed before their answers. */
  readonly abandoned: string[] = [];

  readonly handler: EndpointHandler = (request, response) => {
    const id = String(request.headers["x-id"]);
    this._held.set(id, response);
    response.on("close", () => {
      if (!response.writableFinished) this.abandoned.push(id);
    });
  };

  has(id: string): boolean {
    return this._held.has(id);
  }

  /** Resolves once the request has reached the endpoint. */
  async waitFor(id: string): Promise<void> {
    await utils.waitUntil(() => this.has(id), generousMs);
  }

  /** Sends the head of a stream. */
  sendHead(id: string): void {
    this._require(id).writeHead(200, { "x-id": id }).flushHeaders();
  }

  /** Sends the head and the first event of a stream. */
  begin(id: string): void {
    const response = this._require(id);
    response.writeHead(200, { "x-id": id });
    response.write(`id: 1\ndata: ${id}\n\n`);
  }

  /** Sends a further event of a stream. */
  sendEvent(id: string): void {
    this._require(id).write(`id: 1\ndata: ${id}\n\n`);
  }

  /** Completes the answer to a request. */
  release(id: string): void {
    const response = this._require(id);
    if (response.headersSent) response.end(`id: 2\ndata: ${id}\n\n`);
    else response.writeHead(200, { "x-id": id }).end(`id: 1\ndata: ${id}\n\n`);
  }

  /** Resets the connection of a request. */
  breakOff(id: string): void {
    this._require(id).destroy();
  }

  private _require(id: string): http.ServerResponse {
    const response = this._held.get(id);
    if (response === undefined) throw new Error(`No request ${id} has arrived.`);
    return response;
  }
}
