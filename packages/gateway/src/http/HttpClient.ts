/** Calls over HTTP/1.1 to endpoints and to the store, with what is known of a call that failed. */
import * as http from "node:http";
import { results } from "@shedtiller/common";
import type { CallError, HttpAnswer, HttpCall, BufferedAnswer } from "./HttpCall.js";
import { HttpExchange } from "./HttpExchange.js";
import { KeptAgent } from "./KeptAgent.js";
import { readBody } from "./readBody.js";

/** Makes calls over kept or fresh connections. */
export class HttpClient {
  private readonly _kept = new KeptAgent();
  private readonly _fresh = new http.Agent({ keepAlive: false });

  /** Sends a request and waits for the head of its answer. */
  send(call: HttpCall): Promise<results.Result<HttpAnswer, CallError>> {
    return new Promise((resolve) => {
      const exchange = new HttpExchange(call, call.isFresh === true ? this._fresh : this._kept, resolve);
      exchange.start();
    });
  }

  /** Sends a request and reads its whole answer, within bounds of its body as `readBody` has them. */
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

  /** Ends the connections to an address that rest. */
  closeIdleConnections(address: string): void {
    this._kept.dropRested(address);
  }

  /** Ends all connections. */
  close(): void {
    this._kept.destroy();
    this._fresh.destroy();
  }
}
