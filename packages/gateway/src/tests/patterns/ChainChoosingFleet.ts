/**
 * Simulation of instances that choose chains by stale load data, in simulated time and without a network. Each instance has its own load
 * immediately, and the sum of the load of all others as it was some hundred milliseconds ago, as the collector of a zone reports it.
 */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { FirstEngineShares } from "../../chains/FirstEngineShares.js";
import { FirstEventForecast } from "../../chains/FirstEventForecast.js";
import { ChainReservation } from "../../chains/ChainReservation.js";
import {
  getCapacityTokenLayers,
  getKind,
  getStepMs,
  getUnqueuedRequests,
  hopMs,
  toCopyModel,
} from "../../chains/engineModel.js";
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";
import type { Endpoint, EndpointLoad } from "../../discovery/Endpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { getReadStepMs } from "../../chains/firstEventModel.js";
import { subtractLoads } from "../../peers/endpointLoads.js";
import { createListed } from "../testData.js";

/** Interval of the reports from instances to the collector and of its reports back, so that the data is one to two intervals old. */
const reportIntervalMs = 200;
const tickMs = 5;
/** Load at an engine, as a multiple of its unqueued requests, from which on 17 % of the first events are late. */
const overloadFactor = 1.35;
/** Target latency of all requests. */
const targetLatencyMs = 500;
/** Requests before this time are not counted, since the zone is not yet filled. */
const warmUpMs = 5_000;

/** Options of {@link ChainChoosingFleet}. */
export interface ChainChoosingFleetOptions {
  readonly profile: EngineProfile;
  /** Number of engines by kind. */
  readonly engines: Readonly<Record<string, number>>;
  readonly instances: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Whether the rejection of an engine is broadcast to all instances immediately. */
  readonly areRefusalsBroadcast: boolean;
  /** Time for which instances have no load but their own, as after a simultaneous start. If set, all requests are counted. */
  readonly withoutReportsMs?: number;
  /** Whether instances bound the share of the streams that one engine begins. */
  readonly areFirstEnginesBounded?: boolean;
  /** Whether the placement provides several first engines that are about equal. */
  readonly areFirstEnginesEqualized?: boolean;
  /** Number of other instances that each instance assumes to have the same load as itself meanwhile. */
  readonly assumedPeers?: number;
  /** Whether each instance chooses by the forecast of first events. */
  readonly isForecastOn?: boolean;
  /** Time during which requests arrive at a multiple of their rate; none if omitted. */
  readonly burst?: { readonly fromMs: number; readonly toMs: number; readonly factor: number };
}

/** Result of a simulation. */
export interface ChainChoosingFleetResult {
  readonly requests: number;
  /** Number of requests that an engine of their first chain rejected for lack of capacity. */
  readonly refused: number;
  /** Number of requests for which the instance found no chain with free capacity. */
  readonly withoutChain: number;
  /** Number of requests that began at the busiest first engine, as a multiple of the mean over all engines with the first layer. */
  readonly busiestToMean: number;
  /** Share of the requests that began at the busiest first engine. */
  readonly busiestShare: number;
  /** Number of requests at chains where prompts queue, since an engine has 1.35 times its unqueued requests. */
  readonly queued: number;
  /** Mean time of a token, in ms. */
  readonly tokenMs: number;
  /** Mean number of engines in a chain. */
  readonly chainLength: number;
  /** Number of requests whose first event came after the target latency. */
  readonly late: number;
}

interface Running {
  readonly endsAtMs: number;
  /** Infinite once the first event has come. */
  firstEventAtMs: number;
  readonly noteFirstEvent: () => void;
  /** Reservation in the instance's view. */
  readonly reservation: ChainReservation;
  /** Reservation in the actual load. */
  readonly actual: ChainReservation;
}

interface Instance {
  /** The endpoints with their load as the instance has it. */
  readonly view: EndpointTable;
  readonly chooser: ChainChooser;
  /** Undefined if the instance chooses without a forecast. */
  readonly firstEvents: FirstEventForecast | undefined;
}

/** Simulates the requests of one zone. */
export class ChainChoosingFleet {
  private _nowMs = 0;
  private readonly _random: utils.RandomSource;
  /** Random numbers of the choices, so that these don't change the arrivals. */
  private readonly _choiceRandom: utils.RandomSource;
  /** The endpoints with their actual load. */
  private readonly _actual: EndpointTable;
  private readonly _instances: readonly Instance[];
  private _running: Running[] = [];
  /** The last reported load by endpoint, of all instances together. */
  private _reported = new Map<string, EndpointLoad>();
  /** The last reported load by endpoint, of each instance. */
  private _reportedOwn: Map<string, EndpointLoad>[] = [];
  private readonly _counts = {
    requests: 0,
    refused: 0,
    withoutChain: 0,
    queued: 0,
    tokenMs: 0,
    stages: 0,
    late: 0,
  };
  private readonly _starts = new Map<string, number>();
  /** Time at which each engine has read the prompts that it has been sent, by the id of the engine. */
  private readonly _readAtMs = new Map<string, number>();

  constructor(private readonly _options: ChainChoosingFleetOptions) {
    this._random = new utils.RandomSource(_options.seed);
    this._choiceRandom = new utils.RandomSource(_options.seed);
    const listed = planZone(_options);
    this._actual = createTable(listed, () => this._nowMs);
    this._instances = Array.from({ length: _options.instances }, () => this._createInstance(listed));
  }

  run(): ChainChoosingFleetResult {
    const { durationMs } = this._options;
    let nextReportMs = 0;
    for (; this._nowMs < durationMs; this._nowMs += tickMs) {
      this._endDue();
      if (this._nowMs >= nextReportMs && this._nowMs >= (this._options.withoutReportsMs ?? 0)) {
        this._report();
        nextReportMs += reportIntervalMs;
      }
      for (let due = drawPoisson(this._getArrivalsPerTick(), this._random); due > 0; due--) this._arrive();
    }
    return this._getResult();
  }

  private _createInstance(listed: readonly ListedEndpoint[]): Instance {
    const nowMs = (): number => this._nowMs;
    const random = (): number => this._choiceRandom.nextUnit();
    const view = createTable(listed, nowMs);
    view.assumePeers(this._options.assumedPeers ?? 0);
    const firstEvents =
      this._options.isForecastOn === true ? new FirstEventForecast(nowMs, random) : undefined;
    const structure = { log: { info: () => undefined }, count: () => undefined, nowMs };
    const firstEngines =
      this._options.areFirstEnginesBounded === true ? new FirstEngineShares(structure) : undefined;
    const chooser = new ChainChooser(nowMs, random, { firstEvents, firstEngines });
    return { view, chooser, firstEvents };
  }

  private _getArrivalsPerTick(): number {
    const { requestsPerSecond, burst } = this._options;
    const isBurst = burst !== undefined && this._nowMs >= burst.fromMs && this._nowMs < burst.toMs;
    return (requestsPerSecond * (isBurst ? burst.factor : 1) * tickMs) / utils.msPerSecond;
  }

  private _endDue(): void {
    for (const running of this._running) {
      if (running.firstEventAtMs > this._nowMs) continue;
      running.firstEventAtMs = Number.POSITIVE_INFINITY;
      running.noteFirstEvent();
    }
    const [ended, running] = partition(this._running, ({ endsAtMs }) => endsAtMs <= this._nowMs);
    this._running = running;
    for (const { reservation, actual } of ended) {
      reservation.release();
      actual.release();
    }
  }

  /** Delivers the load collected one interval ago to all instances, and collects the current load. */
  private _report(): void {
    for (const [index, { view }] of this._instances.entries()) {
      const others = subtractLoads(this._reported, this._reportedOwn[index] ?? new Map());
      view.setPeerLoads("collected", others);
    }
    this._reported = new Map(this._actual.getAll().map((endpoint) => [endpoint.id, endpoint.ownLoad]));
    this._reportedOwn = this._instances.map(
      ({ view }) => new Map(view.getAll().map((endpoint) => [endpoint.id, endpoint.ownLoad])),
    );
  }

  private _arrive(): void {
    const { profile } = this._options;
    const instance = this._random.pick(this._instances);
    if (instance === undefined) return;
    const { view, chooser } = instance;
    const demand = {
      promptTokens: Math.round(profile.usualPromptTokens * (0.5 + this._random.nextUnit())),
      answerTokens: Math.round(profile.usualAnswerTokens * (0.5 + this._random.nextUnit())),
      availabilityZone: "east",
      targetLatencyMs,
    };
    const isCounted = this._options.withoutReportsMs !== undefined || this._nowMs >= warmUpMs;
    if (isCounted) this._counts.requests += 1;
    const chain = chooser.choose(view.getAll(), profile, demand);
    if (chain === undefined) {
      if (isCounted) this._counts.withoutChain += 1;
      return;
    }
    const first = view.get(chain[0]?.endpointId ?? "");
    if (first !== undefined) chooser.noteStart(first);
    const tokens = demand.promptTokens + demand.answerTokens;
    const full = chain.find(({ endpointId, start, end }) => {
      const endpoint = this._actual.get(endpointId);
      if (endpoint === undefined) return true;
      const capacityTokenLayers = getCapacityTokenLayers(endpoint, profile);
      return endpoint.ownLoad.tokenLayers + tokens * (end - start) > capacityTokenLayers;
    });
    if (full !== undefined) {
      if (isCounted) this._counts.refused += 1;
      const informed = this._options.areRefusalsBroadcast ? this._instances : [instance];
      for (const each of informed) each.view.get(full.endpointId)?.noteFull(this._nowMs);
      return;
    }
    this._start(instance, chain, demand, isCounted);
  }

  private _start(
    { view, firstEvents }: Instance,
    chain: NonNullable<ReturnType<ChainChooser["choose"]>>,
    demand: { readonly promptTokens: number; readonly answerTokens: number },
    isCounted: boolean,
  ): void {
    const tokens = demand.promptTokens + demand.answerTokens;
    const getEndpoint = (id: string): Endpoint | undefined => view.get(id);
    const forecast = firstEvents?.forecast(chain, getEndpoint, this._options.profile, demand.promptTokens);
    const reservation = new ChainReservation(view, chain, tokens, demand.promptTokens);
    const actual = new ChainReservation(this._actual, chain, tokens, demand.promptTokens);
    const tokenMs = this._getTokenMs(chain, tokens);
    const firstEventAtMs = this._readPrompt(chain, demand.promptTokens);
    const endsAtMs = firstEventAtMs + tokenMs * demand.answerTokens;
    const tookMs = firstEventAtMs - this._nowMs;
    const engine = view.get(chain[0]?.endpointId ?? "");
    const noteFirstEvent = (): void => {
      reservation.notePromptRead();
      actual.notePromptRead();
      if (engine !== undefined && forecast !== undefined)
        firstEvents?.noteFirstEvent(engine, forecast, tookMs);
    };
    this._running.push({ endsAtMs, firstEventAtMs, noteFirstEvent, reservation, actual });
    if (!isCounted) return;
    if (tookMs > targetLatencyMs) this._counts.late += 1;
    if (chain.some(({ endpointId }) => this._isOverloaded(endpointId))) this._counts.queued += 1;
    this._counts.tokenMs += tokenMs;
    this._counts.stages += chain.length;
    const [first] = chain;
    if (first !== undefined)
      this._starts.set(first.endpointId, (this._starts.get(first.endpointId) ?? 0) + 1);
  }

  private _isOverloaded(endpointId: string): boolean {
    const endpoint = this._actual.get(endpointId);
    if (endpoint === undefined) return false;
    return endpoint.ownLoad.requests > overloadFactor * getUnqueuedRequests(endpoint, this._options.profile);
  }

  /** Reads a prompt at one engine after the other, each of which reads prompts in turn; returns the time of the first event. */
  private _readPrompt(chain: NonNullable<ReturnType<ChainChooser["choose"]>>, promptTokens: number): number {
    const { profile } = this._options;
    const steps = promptTokens / profile.promptTokensPerPass;
    let atMs = this._nowMs;
    for (const { endpointId, start, end } of chain) {
      const endpoint = this._actual.get(endpointId);
      if (endpoint === undefined) continue;
      const stepMs = getReadStepMs(endpoint, profile, end - start);
      const beginsAtMs = Math.max(atMs + hopMs, this._readAtMs.get(endpointId) ?? 0);
      this._readAtMs.set(endpointId, beginsAtMs + steps * stepMs);
      atMs = beginsAtMs + Math.ceil(steps) * stepMs;
    }
    return atMs;
  }

  private _getTokenMs(chain: NonNullable<ReturnType<ChainChooser["choose"]>>, tokens: number): number {
    const { profile } = this._options;
    let tokenMs = 0;
    for (const { endpointId, start, end } of chain) {
      const endpoint = this._actual.get(endpointId);
      const kind = endpoint === undefined ? undefined : getKind(endpoint, profile);
      if (endpoint === undefined || kind === undefined) continue;
      const share = (end - start) / profile.layerCount;
      tokenMs += hopMs + share * getStepMs(profile, endpoint.ownLoad.requests, tokens) * kind.stepFactor;
    }
    return tokenMs;
  }

  private _getResult(): ChainChoosingFleetResult {
    const { requests, refused, withoutChain, queued, tokenMs, stages, late } = this._counts;
    const firsts = this._actual.getAll().filter((endpoint) => endpoint.listed.layers[0]?.start === 0);
    const started = utils.getSum([...this._starts.values()]);
    const busiest = Math.max(...this._starts.values());
    return {
      requests,
      refused,
      withoutChain,
      queued,
      busiestShare: busiest / started,
      late,
      busiestToMean: (busiest * firsts.length) / started,
      tokenMs: tokenMs / started,
      chainLength: stages / started,
    };
  }
}

/** Creates the engines of a zone with the layers that the planner assigns to them. */
function planZone(options: ChainChoosingFleetOptions): ListedEndpoint[] {
  const { profile, engines } = options;
  const firstEngineWeight =
    options.areFirstEnginesEqualized === true ? placement.usualFirstEngineWeight : undefined;
  const model = { ...toCopyModel(profile), firstEngineWeight };
  const members = Object.entries(engines).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_value, index) => {
      const name = `${kind}-${index}`;
      const found = profile.kinds.find((known) => known.name === kind);
      return { kind, engine: { name, memoryMb: found?.memoryMb ?? 0, stepFactor: found?.stepFactor ?? 1 } };
    }),
  );
  const first = new Map(
    placement
      .planLayerCopies(
        members.map(({ engine }) => engine),
        model,
      )
      .map((span) => [span.name, span]),
  );
  const assigned = members.map(({ engine }) => ({ engine, start: 0, end: 0, ...first.get(engine.name) }));
  const burstRequests = placement.getBurstRequests(
    assigned.map(({ engine }) => engine),
    model,
  );
  const spans = placement.planBalance(assigned, { ...model, burstRequests });
  return members.map(({ kind, engine }, index) => {
    const span = spans[index] ?? { start: 0, end: 0 };
    const layers = span.end > span.start ? [{ start: span.start, end: span.end }] : [];
    return createListed(engine.name, { kind, layers, slots: profile.slots, address: `${engine.name}:1` });
  });
}

function createTable(listed: readonly ListedEndpoint[], nowMs: () => number): EndpointTable {
  const table = new EndpointTable(nowMs);
  table.setAll(new Map(listed.map((each) => [each.id, each])));
  return table;
}

function partition<T>(items: readonly T[], isFirst: (item: T) => boolean): [T[], T[]] {
  return [items.filter(isFirst), items.filter((item) => !isFirst(item))];
}

/** Draws a Poisson-distributed number by Knuth's method, which is suitable for small means. */
function drawPoisson(mean: number, random: utils.RandomSource): number {
  const limit = Math.exp(-mean);
  let count = -1;
  for (let product = 1; product > limit || count < 0; product *= random.nextUnit()) count += 1;
  return count;
}
