/** HTTP/1.1 client for endpoints and the store, whose errors state whether the server may have received the request. */
import { results, utils } from "@shedtiller/common";
import { AnswerMemory } from "./AnswerMemory.js";
import type { Connector } from "./Connector.js";
import { ConnectorAgent } from "./ConnectorAgent.js";
import type { CallError, HttpAnswer, HttpCall, BufferedAnswer } from "./HttpCall.js";
import { HttpExchange } from "./HttpExchange.js";
import { KeepAliveAgent } from "./KeepAliveAgent.js";
import { discardBody } from "./discardBody.js";
import { readBody } from "./readBody.js";

/** Makes calls over pooled keep-alive connections, or over a new connection if `isFresh` is set. */
export class HttpClient {
  private readonly _keepAlive = new KeepAliveAgent();
  private readonly _fresh = new ConnectorAgent({ keepAlive: false });
  /** Calls without an answer, by address. */
  private readonly _waiting = new Map<string, Set<HttpExchange>>();
  private _connector: Connector | undefined;

  /** @param memory - Memory for the answers that are being received. */
  constructor(readonly memory = new AnswerMemory()) {}

  /** Establishes all further connections with `connector`. */
  useConnector(connector: Connector): void {
    this._connector = connector;
    this._keepAlive.useConnector(connector);
    this._fresh.useConnector(connector);
    connector.onPathChanged((address, failure) => {
      this._keepAlive.closeStaleConnections(address);
      // Connections that were open before new ones are refused go on, or are reset.
      if (failure === "unanswered")
        for (const exchange of this._waiting.get(address) ?? []) exchange.endIfSilent();
    });
  }

  /** Sends a request and waits for the headers of its answer. */
  send(call: HttpCall): Promise<results.Result<HttpAnswer, CallError>> {
    return new Promise((resolve) => {
      const agent = call.isFresh === true ? this._fresh : this._keepAlive;
      const exchange = new HttpExchange(call, agent, this._connector, this.memory, (result) => {
        this._removeWaiting(call.address, exchange);
        resolve(result);
      });
      this._addWaiting(call.address, exchange);
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
    return head.err ? head : readAnswer(head.val, call, maxBytes, bodyTimeoutMs, bodyStallMs);
  }

  /**
   * Sends a request and reads its whole answer, which is due at one time for its headers and its body.
   * @param dueAtMs - Monotonic time by which the whole answer is due.
   * @param needsBody - Called with the head; the body of an answer that does not need it is discarded.
   */
  async fetchUntil(
    call: HttpCall,
    maxBytes: number,
    dueAtMs: number,
    needsBody: (head: HttpAnswer) => boolean = () => true,
  ): Promise<results.Result<BufferedAnswer, CallError>> {
    const head = await this.send(call);
    if (head.err) return head;
    if (!needsBody(head.val)) {
      discardBody(head.val);
      return results.Ok({ status: head.val.status, headers: head.val.headers, body: Buffer.alloc(0) });
    }
    return readAnswer(head.val, call, maxBytes, Math.max(1, dueAtMs - utils.monotonicMs()));
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

  private _addWaiting(address: string, exchange: HttpExchange): void {
    if (this._connector === undefined) return;
    const waiting = this._waiting.get(address) ?? new Set();
    this._waiting.set(address, waiting);
    waiting.add(exchange);
  }

  private _removeWaiting(address: string, exchange: HttpExchange): void {
    const waiting = this._waiting.get(address);
    if (waiting?.delete(exchange) === true && waiting.size === 0) this._waiting.delete(address);
  }
}

async function readAnswer(
  head: HttpAnswer,
  { address }: HttpCall,
  maxBytes: number,
  timeoutMs: number,
  stallMs?: number,
): Promise<results.Result<BufferedAnswer, CallError>> {
  const body = await readBody(head, address, maxBytes, timeoutMs, stallMs);
  return body.err ? body : results.Ok({ status: head.status, headers: head.headers, body: body.val });
}
