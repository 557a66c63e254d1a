/** Stand-ins for the endpoints: plain services, and engines that load layers as ordered. Each writes its entry to the store. */
import * as http from "node:http";
import { host, sleep } from "./common.mjs";
import { sendJson } from "./Store.mjs";

const heartbeatMs = 1_200;

/** An endpoint of a plain service. `answer` handles each request that is meant for this endpoint. */
export class Endpoint {
  constructor({ id, service, availabilityZone, store, slots = 6, answer }) {
    this.id = id;
    this._service = service;
    this._availabilityZone = availabilityZone;
    this._store = store;
    this._slots = slots;
    this._answer = answer;
    this._sequence = 0;
    this._isLeaving = false;
    this._server = http.createServer((request, response) => {
      this._handle(request, response).catch(() => response.destroy());
    });
  }

  get address() {
    return `${host}:${this._port}`;
  }

  async start() {
    await new Promise((resolve) => this._server.listen(0, host, resolve));
    this._port = this._server.address().port;
    this.writeEntry();
    this._heartbeat = setInterval(() => this.writeEntry(), heartbeatMs);
  }

  /** Leaves without a notice: its entry goes, and it serves on. */
  leave() {
    this._isLeaving = true;
    clearInterval(this._heartbeat);
    this._store.write("keyed.servers", this.id, undefined);
  }

  /** Ends like a killed process: its connections end, its port refuses new ones, and it writes no more heartbeats. */
  stop() {
    clearInterval(this._heartbeat);
    this._server.close();
    this._server.closeAllConnections();
  }

  writeEntry() {
    this._sequence += 1;
    this._store.write("keyed.servers", this.id, this.getEntry());
  }

  getEntry() {
    return {
      service: this._service,
      address: this.address,
      zone: this._availabilityZone,
      version: "v1",
      slots: this._slots,
      state: "ready",
      "cold-remaining-ms": 0,
      sequence: this._sequence,
    };
  }

  async _handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id)
      return void response.writeHead(421, { "Instance-Id": this.id, "Not-Executed": "1" }).end();
    if (this._isLeaving) response.shouldKeepAlive = false;
    if (request.url === "/healthz")
      return void response.writeHead(this._isLeaving ? 503 : 200, { "Instance-Id": this.id }).end();
    await this.handle(request, response, Buffer.concat(chunks));
  }

  handle(request, response, body) {
    return this._answer(request, response, body, this);
  }
}

/** An engine, which runs streams through the layers that it has loaded. */
export class Engine extends Endpoint {
  constructor(options) {
    super(options);
    this._kind = options.kind;
    this._loadMsPerLayer = options.loadMsPerLayer;
    this._layers = undefined;
    this._orders = 0;
    this._isBusy = false;
    this.running = 0;
  }

  getEntry() {
    const models = this._layers === undefined ? null : [{ name: "m0", version: 1, adapters: [] }];
    return { ...super.getEntry(), kind: this._kind, stage: "dual", layers: this._layers ?? null, models };
  }

  async handle(request, response, body) {
    if (request.url === "/shedtiller/report") return this._report(response);
    if (request.url === "/shedtiller/order") return this._order(JSON.parse(body), response);
    const [stage = ""] = String(request.headers["path"] ?? "").split(",");
    const [, span = ""] = stage.split("=");
    const [start, end] = span.split("-").map(Number);
    const holds =
      this._layers !== undefined && this._layers.from <= start && end <= this._layers["target-version"];
    if (!holds) return void response.writeHead(421, { "Not-Executed": "1", "At-Server": this.address }).end();
    this.running += 1;
    response.once("close", () => (this.running -= 1));
    await super.handle(request, response, body);
  }

  _report(response) {
    sendJson(response, {
      stage: "dual",
      models: [],
      busy: this._isBusy,
      sequence: this._orders,
      queued: 0,
      running: this.running,
      "kv-used": this.running * 1_000,
      "kv-total": 5_000_000,
      handles: 0,
      pace: 1,
      kind: this._kind,
      layers: this._layers ?? null,
      stalled: [],
    });
  }

  _order(order, response) {
    if (order.op !== "place") return void response.writeHead(404).end();
    const isExpected =
      order["expected-revision"] === undefined || order["expected-revision"] === this._orders;
    if (this._isBusy || !isExpected) return void response.writeHead(409).end();
    this._orders += 1;
    this._isBusy = true;
    response.writeHead(202).end();
    void this._load(order);
  }

  async _load({ from, "target-version": end }) {
    await sleep((end - from) * this._loadMsPerLayer);
    this._layers = { from, "target-version": end, version: 1 };
    this._isBusy = false;
    this.writeEntry();
  }
}
