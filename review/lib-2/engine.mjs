/** An engine that holds layers as ordered and falls if it is ordered to hold more than its memory holds. */
import * as http from "node:http";
import { loopback, nowMs, sleep } from "./harness.mjs";

export const layerCount = 80;
export const layerMb = 1_750;
/** Sizes of the accelerator kinds, as the deployments of the pages have them. */
export const kinds = [
  { name: "a100", mb: 72_000, pace: 2.4, read_x: 3.2 },
  { name: "l40s", mb: 43_200, pace: 5.6, read_x: 2.7 },
  { name: "l4", mb: 21_600, pace: 16, read_x: 8.2 },
];
const loadMs = 2_000;
const heartbeatMs = 1_200;

/** Returns the service of the engines in the format of the configuration. */
export function createEngineService(name) {
  return {
    name,
    "health-path": "/healthz",
    "max-conns": 1_138,
    engine: {
      slots: 134,
      "kv-capacity-tokens": 69_791,
      "kv-token-bytes": 1_315_343,
      "link-mbps": 400_000,
      stride: 3,
      models: [{ name: "m", pace: 1, load_s: loadMs / 1_000, "warm-s": 1 }],
      step_ms: 1.02,
      per_seq_ms: 0.01,
      context_per_k: 0.0137,
      read_per_s: 105_000,
      pairs_per_m: 0.309,
      chunk: 512,
      report_lag_ms: 200,
      loads_at_once: 5,
      delays: [],
      usual: { prompt: 774, answer: 200 },
      layers: layerCount,
      layer_mb: layerMb,
      act_bytes: 65_767,
      pipe_mbps: 26_000,
      kinds,
    },
  };
}

/** One engine, which writes its entry when it changes and at the next heartbeat after another writer has overwritten it. */
export class Engine {
  orders = [];
  layers = null;
  isBusy = false;
  sequence = 0;
  hasFallen = false;
  isOverwritten = false;

  constructor(run, store, id, kindName, { service = "assist", zone = "east", onOrder } = {}) {
    Object.assign(this, { run, store, id, service, zone, onOrder, bornAtMs: Date.now() });
    this.kind = kinds.find(({ name }) => name === kindName);
    this.server = http.createServer((request, response) => void this._answer(request, response));
    run.closers.push(() => this._stop());
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, loopback, resolve));
    this.address = `${loopback}:${this.server.address().port}`;
    this.publish();
    this._heartbeat = setInterval(() => {
      if (this.isOverwritten) this.publish();
    }, heartbeatMs);
  }

  get entry() {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: 134,
      state: "ready",
      "cold-remaining-ms": 0,
      stage: "dual",
      born: this.bornAtMs,
      ...this._state,
      sequence: this.sequence,
    };
  }

  get _state() {
    const models = this.layers === null ? [] : [{ name: "m", version: 1, adapters: [] }];
    return { models, layers: this.layers, kind: this.kind.name };
  }

  publish() {
    this.isOverwritten = false;
    this.store.write("keyed.servers", this.id, this.entry);
  }

  /** Another writer overwrites the entry. */
  overwrite(entry) {
    if (this.hasFallen) return;
    this.isOverwritten = true;
    this.store.write("keyed.servers", this.id, entry);
  }

  async _answer(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id)
      return void response.writeHead(421, { "Not-Executed": "1", "Instance-Id": this.id }).end();
    if (request.url === "/shedtiller/report") return this._report(response);
    if (request.url === "/shedtiller/order")
      return this._order(JSON.parse(Buffer.concat(chunks).toString()), response);
    response.writeHead(503, { "Request-Id": request.headers["request-id"] ?? "", "Not-Executed": "1" }).end();
  }

  _report(response) {
    const report = {
      stage: "dual",
      born: this.bornAtMs,
      ...this._state,
      busy: this.isBusy,
      sequence: this.sequence,
      queued: 0,
      running: 0,
      "kv-used": 0,
      "kv-total": 1_000_000,
      pace: 1,
      stalled: [],
      handles: 0,
    };
    response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(report));
  }

  _order(order, response) {
    if (order.op !== "place") return void response.writeHead(400).end();
    const expected = order["expected-revision"];
    if (this.isBusy || (expected !== undefined && expected !== this.sequence))
      return void response.writeHead(409).end();
    const layers = order["target-version"] - order.from;
    const neededMb = layers * layerMb;
    const isOver = neededMb > this.kind.mb;
    this.orders.push({ atMs: nowMs(), from: order.from, end: order["target-version"], neededMb, isOver });
    this.run.note(
      `${this.id} (${this.kind.name}, ${this.kind.mb} MB) is ordered to hold layers ${order.from} to ${order["target-version"]}: ${neededMb} MB${isOver ? ", more than it holds" : ""}`,
    );
    this.sequence += 1;
    response.writeHead(202).end();
    if (isOver) return this._fall();
    this.isBusy = true;
    void sleep((loadMs * layers) / layerCount).then(() => {
      this.isBusy = false;
      this.layers = { from: order.from, "target-version": order["target-version"], version: 1 };
      this.publish();
    });
  }

  /** The process of the engine ends; its entry goes after three heartbeats. */
  _fall() {
    this.hasFallen = true;
    this.run.note(`${this.id} falls`);
    setTimeout(() => this._stop(), 20);
    setTimeout(() => this.store.write("keyed.servers", this.id, undefined), 3 * heartbeatMs);
  }

  _stop() {
    clearInterval(this._heartbeat);
    this.server.close();
    this.server.closeAllConnections();
  }
}
