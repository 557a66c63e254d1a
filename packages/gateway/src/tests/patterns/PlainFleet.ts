/**
 * Simulation of instances before few plain endpoints, in simulated time and without a network. Each instance has its own requests
 * immediately, and the sums of all others as they were 0.2 to 0.4 s ago.
 */
import { utils } from "@shedtiller/common";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { GatewayMetrics } from "../../GatewayMetrics.js";
import { EndpointConcurrency } from "../../loadcontrol/EndpointConcurrency.js";
import type { SendResult } from "../../loadcontrol/EndpointRecords.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import type { Loads } from "../../peers/endpointLoads.js";
import { subtractLoads, sumLoads } from "../../peers/endpointLoads.js";
import { subtractFigures, sumFigures, type Figures } from "../../peers/figures.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { pickPlainEndpoint } from "../../requests/pickPlainEndpoint.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed } from "../testData.js";
import { SimulatedClock } from "./SimulatedClock.js";

const zones = ["east", "west", "harbor"];
const service = "records";
const slots = 6;
const serviceMs = 43;
const deadlineMs = 1_500;
const pollMs = 50;
const safeShare = 0.3;
const reportIntervalMs = 200;
export const targetLatencyMs = 200;

/** How an endpoint deviates from a good one. */
export interface Behaviour {
  readonly slowness?: number;
  readonly hangs?: boolean;
  readonly shedShare?: number;
}

/** Options of a {@link PlainFleet}. */
export interface PlainFleetOptions {
  readonly instances: number;
  readonly requestsPerSecond: number;
  readonly seed: number;
  /** Whether instances limit the concurrency of endpoints. */
  readonly isControlled: boolean;
}

interface Instance {
  readonly table: EndpointTable;
  readonly figures: SharedFigures;
  readonly concurrency: EndpointConcurrency;
  reported: { readonly loads: Loads; readonly figures: Figures };
}

interface SimulatedEndpoint {
  behaviour: Behaviour;
  running: number;
  readonly queue: (() => void)[];
  arrivals: number;
}

/** Simulates requests without retries. */
export class PlainFleet {
  readonly clock = new SimulatedClock();
  /** Counts since the last call of `run`; `queued` are answers that took longer than the target latency at their endpoint alone. */
  counts = { requests: 0, late: 0, failed: 0, withoutRoom: 0, answered: 0, queued: 0 };
  /** Whether instances receive the figures and loads of each other. */
  isExchanging = true;
  readonly endpoints = new Map<string, SimulatedEndpoint>();
  private _listed = new Map<string, ListedEndpoint>();
  private readonly _instances: Instance[];
  private readonly _random: utils.RandomSource;

  constructor(private readonly _options: PlainFleetOptions) {
    this._random = new utils.RandomSource(_options.seed);
    this._instances = Array.from({ length: _options.instances }, (_, index) => this._createInstance(index));
    this.list(["a", "b", "c"]);
    this._scheduleArrival();
    this._scheduleReport();
  }

  /** Replaces the list of endpoints; those that are new have no record. */
  list(ids: readonly string[]): void {
    for (const id of ids)
      if (!this.endpoints.has(id))
        this.endpoints.set(id, { behaviour: {}, running: 0, queue: [], arrivals: 0 });
    this._listed = new Map(ids.map((id, index) => [id, list(id, zones[index] ?? "")]));
    for (const { table } of this._instances) table.setAll(this._listed);
  }

  setBehaviour(id: string, behaviour: Behaviour): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint !== undefined) endpoint.behaviour = behaviour;
  }

  /** Runs for a time, and returns the share of the requests that arrived at an endpoint meanwhile. */
  async run(durationMs: number): Promise<(id: string) => number> {
    this.counts = { requests: 0, late: 0, failed: 0, withoutRoom: 0, answered: 0, queued: 0 };
    for (const endpoint of this.endpoints.values()) endpoint.arrivals = 0;
    await this.clock.run(this.clock.nowMs() + durationMs);
    const total = utils.getSum([...this.endpoints.values()].map(({ arrivals }) => arrivals));
    return (id) => (this.endpoints.get(id)?.arrivals ?? 0) / total;
  }

  private _createInstance(index: number): Instance {
    const { nowMs } = this.clock;
    const figures = new SharedFigures(nowMs);
    const table = new EndpointTable(nowMs);
    const concurrency = new EndpointConcurrency({
      availabilityZone: zones[index % zones.length] ?? "",
      activeConfiguration: new ActiveConfiguration(nowMs),
      endpoints: table,
      figures,
      metrics: new GatewayMetrics(),
      log: new DecisionLog(new SilentLogOutput(), nowMs),
      nowMs,
      random: () => this._random.nextUnit(),
    });
    return { table, figures, concurrency, reported: { loads: new Map(), figures: new Map() } };
  }

  private _scheduleArrival(): void {
    const { requestsPerSecond, instances } = this._options;
    const afterMs = this._random.nextExponential(utils.msPerSecond / requestsPerSecond);
    this.clock.at(this.clock.nowMs() + afterMs, () => {
      this._arrive(this._random.nextInteger(instances));
      this._scheduleArrival();
    });
  }

  private _scheduleReport(): void {
    this.clock.at(this.clock.nowMs() + reportIntervalMs, () => {
      if (this.isExchanging) this._report();
      this._scheduleReport();
    });
  }

  /** Delivers what was collected one interval ago, and collects the current loads and figures. */
  private _report(): void {
    const loads = sumLoads(this._instances.map(({ reported }) => reported.loads));
    const figures = sumFigures(this._instances.map(({ reported }) => reported.figures));
    for (const instance of this._instances) {
      const { reported, table } = instance;
      table.setPeerLoads("collected", subtractLoads(loads, reported.loads));
      instance.figures.update(subtractFigures(figures, reported.figures), new Map());
      const own = new Map(table.getAll().map(({ lifeId, ownLoad }) => [lifeId, ownLoad]));
      instance.reported = { loads: own, figures: instance.figures.getOwn() };
    }
  }

  private _arrive(index: number): void {
    const instance = this._instances[index];
    if (instance === undefined) return;
    this.counts.requests += 1;
    instance.concurrency.records.noteArrival(service);
    this._trySend(instance, index, this._random.nextUnit() < safeShare, this.clock.nowMs());
  }

  /** Sends a request if an endpoint has room, and tries again after the interval of the queue's poll otherwise. */
  private _trySend(instance: Instance, index: number, isIdempotent: boolean, arrivedAtMs: number): void {
    const { table, concurrency } = instance;
    const nowMs = this.clock.nowMs();
    const query = { service, excluded: new Set<string>(), mayProbe: false };
    const availabilityZone = zones[index % zones.length] ?? "";
    const isControlled = this._options.isControlled && concurrency.isInEffect(service);
    const endpoint = isControlled
      ? concurrency.pick({ ...query, isIdempotent })
      : pickPlainEndpoint({ endpoints: table, availabilityZone }, query, nowMs);
    if (endpoint === undefined) {
      const nextMs = nowMs + pollMs;
      if (nextMs - arrivedAtMs > deadlineMs) return void (this.counts.withoutRoom += 1);
      return this.clock.at(nextMs, () => this._trySend(instance, index, isIdempotent, arrivedAtMs));
    }
    const send = concurrency.begin(endpoint);
    endpoint.addOwnLoad(1, 0);
    this._serve(endpoint.id, (result) => {
      endpoint.addOwnLoad(-1, 0);
      concurrency.records.end(send, result);
      if (result === "answered") endpoint.noteAnswered(nowMs);
      if (result === "failed") endpoint.circuitBreaker.noteFailed(nowMs, this.clock.nowMs());
      if (result !== "answered") this.counts.failed += 1;
      else this._countAnswer(arrivedAtMs, nowMs);
    });
  }

  private _countAnswer(arrivedAtMs: number, sentAtMs: number): void {
    const nowMs = this.clock.nowMs();
    this.counts.answered += 1;
    if (nowMs - arrivedAtMs > targetLatencyMs) this.counts.late += 1;
    if (nowMs - sentAtMs > targetLatencyMs) this.counts.queued += 1;
  }

  private _serve(id: string, end: (result: SendResult) => void): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) return;
    endpoint.arrivals += 1;
    const { hangs = false, shedShare = 0, slowness = 1 } = endpoint.behaviour;
    if (hangs) return this.clock.at(this.clock.nowMs() + deadlineMs, () => end("cancelled"));
    if (this._random.nextUnit() < shedShare)
      return this.clock.at(this.clock.nowMs() + 1, () => end("failed"));
    const begin = (): void => {
      endpoint.running += 1;
      const durationMs = serviceMs * slowness * (0.5 + this._random.nextUnit());
      this.clock.at(this.clock.nowMs() + durationMs, () => {
        endpoint.running -= 1;
        end("answered");
        endpoint.queue.shift()?.();
      });
    };
    if (endpoint.running < slots) begin();
    else endpoint.queue.push(begin);
  }
}

function list(id: string, availabilityZone: string): ListedEndpoint {
  return createListed(id, { service, availabilityZone, slots, kind: undefined });
}
