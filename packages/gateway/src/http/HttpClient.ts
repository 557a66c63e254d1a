/** HTTP/1.1 client for endpoints and the store, whose errors state whether the server may have received the request. */
import * as http from "node:http";
import { results } from "@shedtiller/common";
import type { CallError, HttpAnswer, HttpCall, BufferedAnswer } from "./HttpCall.js";
import { HttpExchange } from "./HttpExchange.js";
import { KeepAliveAgent } from "./KeepAliveAgent.js";
import { readBody } from "./readBody.js";

/** Makes calls over pooled keep-alive connections, or over a new connection if `isFresh` is set. */
export class HttpClient {
  private readonly _keepAlive = new KeepAliveAgent();
  private readonly _fresh = new http.Agent({ keepAlive: false });

  /** Sends a request and waits for the headers of its answer. */
  send(call: HttpCall): Promise<results.Result<HttpAnswer, CallError>> {
    return new Promise((resolve) => {
      const exchange = new HttpExchange(call, call.isFresh === true ? this._fresh : this._keepAlive, resolve);
      exchange.start();
    });
  }

  /** Sends a request and reads its whole answer, with the limits of {@link readBody} for the body. */
  async fetch(
    call: HttpCall,
    maxBytes: number,
    bodyTimeoutMs: number,
    bodyStallMs = bodyTimeoutMs,
  ): Promise<results.Result<BufferedAnswer, CallError>> {
    const head = await this.send(call);
    if (head.err) return head;
    const body = await readBody(head.val, call.address, maxBytes, bodyTimeoutMs, bodyStallMs);
    if (body.err) return body;
    return results.Ok({ status: head.val.status, headers: head.val.headers, body: body.val });
  }

  /** Closes the idle connections to an address. */
  closeIdleConnections(address: string): void {
    this._keepAlive.closeIdleConnections(address);
  }

  /** Closes all connections. */
  close(): void {
    this._keepAlive.destroy();
    this._fresh.destroy();
  }
}
