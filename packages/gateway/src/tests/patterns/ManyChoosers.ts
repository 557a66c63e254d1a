/**
 * Many instances that choose chains on old knowledge of load, in simulated time and without a network. Each instance knows its own
 * requests at once and the sum of the others' as it was some hundred milliseconds before, as a zone's collector tells it.
 */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import { ChainChooser } from "../../chains/ChainChooser.js";
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
import type { EndpointLoad } from "../../discovery/Endpoint.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { subtract } from "../../peers/endpointLoads.js";
import { createListed } from "../testData.js";

/** Each instance tells its load this often, and the collector tells the sum as often: what is known is one to two of these old. */
const tellIntervalMs = 200;
const tickMs = 5;
/** From here on 17 in 100 first events are late, by measurement. */
const crowdedShare = 1.35;
/** Requests before this moment find a zone that still fills. */
const warmUpMs = 5_000;

/** What a run is made of. */
export interface ManyChoosersOptions {
  readonly profile: EngineProfile;
  /** Number of engines by kind. */
  readonly engines: Readonly<Record<string, number>>;
  readonly instances: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Whether an engine's refusal is told to all instances at once. */
  readonly areRefusalsTold: boolean;
  /** How long no instance knows any load but its own, as after a start of all; all requests count then. */
  readonly blindMs?: number;
  /** How many others each instance takes to be like itself meanwhile. */
  readonly assumedPeers?: number;
}

/** What came of a run. */
export interface ManyChoosersResult {
  readonly requests: number;
  /** Requests whose first engine chain refused them, for want of room at one of its engines. */
  readonly refused: number;
  /** Requests for which the instance itself saw no room. */
  readonly withoutChain: number;
  /** Starts at the busiest first engine, as a multiple of the mean over engines that hold the first layer. */
  readonly busiestToMean: number;
  /** Requests that began at a chain where prompts have to wait: an engine has 1.35 times the requests that it reads without a queue. */
  readonly queued: number;
  /** Mean time of a token, in ms. */
  readonly tokenMs: number;
  /** Mean number of engines in a chain. */
  readonly chainLength: number;
}

interface Running {
  readonly endsAtMs: number;
  readonly reservation: ChainReservation;
  readonly truth: ChainReservation;
}

/** One zone in simulated time. */
export class ManyChoosers {
  private _nowMs = 0;
  private readonly _random: utils.RandomSource;
  private readonly _truth: EndpointTable;
  private readonly _views: readonly EndpointTable[];
  private readonly _chooser: ChainChooser;
  private _running: Running[] = [];
  /** Load by endpoint as all instances told it last: of all, and of each instance. */
  private _told = new Map<string, EndpointLoad>();
  private _toldOwn: Map<string, EndpointLoad>[] = [];
  private readonly _counts = { requests: 0, refused: 0, withoutChain: 0, queued: 0, tokenMs: 0, stages: 0 };
  private readonly _starts = new Map<string, number>();

  constructor(private readonly _options: ManyChoosersOptions) {
    this._random = new utils.RandomSource(_options.seed);
    const listed = planZone(_options);
    this._truth = createTable(listed, () => this._nowMs);
    this._views = Array.from({ length: _options.instances }, () => createTable(listed, () => this._nowMs));
    for (const view of this._views) view.assumePeers(_options.assumedPeers ?? 0);
    this._chooser = new ChainChooser(
      () => this._nowMs,
      () => this._random.nextUnit(),
    );
  }

  run(): ManyChoosersResult {
    const { durationMs, requestsPerSecond } = this._options;
    const perTick = (requestsPerSecond * tickMs) / utils.msPerSecond;
    let nextTellMs = 0;
    for (; this._nowMs < durationMs; this._nowMs += tickMs) {
      this._endDue();
      if (this._nowMs >= nextTellMs && this._nowMs >= (this._options.blindMs ?? 0)) {
        this._tell();
        nextTellMs += tellIntervalMs;
      }
      for (let due = drawPoisson(perTick, this._random); due > 0; due--) this._arrive();
    }
    return this._getResult();
  }

  private _endDue(): void {
    const [ended, running] = partition(this._running, ({ endsAtMs }) => endsAtMs <= this._nowMs);
    this._running = running;
    for (const { reservation, truth } of ended) {
      reservation.release();
      truth.release();
    }
  }

  /** What was collected one interval before reaches all instances now; what they have now is collected. */
  private _tell(): void {
    for (const [index, view] of this._views.entries()) {
      const others = subtract(this._told, this._toldOwn[index] ?? new Map());
      view.setPeerLoads("collected", others);
    }
    this._told = new Map(this._truth.getAll().map((endpoint) => [endpoint.id, endpoint.ownLoad]));
    this._toldOwn = this._views.map(
      (view) => new Map(view.getAll().map((endpoint) => [endpoint.id, endpoint.ownLoad])),
    );
  }

  private _arrive(): void {
    const { profile } = this._options;
    const view = this._views[Math.floor(this._random.nextUnit() * this._views.length)];
    if (view === undefined) return;
    const demand = {
      promptTokens: Math.round(profile.usualPromptTokens * (0.5 + this._random.nextUnit())),
      answerTokens: Math.round(profile.usualAnswerTokens * (0.5 + this._random.nextUnit())),
      availabilityZone: "east",
    };
    const isCounted = this._options.blindMs !== undefined || this._nowMs >= warmUpMs;
    if (isCounted) this._counts.requests += 1;
    const chain = this._chooser.choose(view.getAll(), profile, demand);
    if (chain === undefined) {
      if (isCounted) this._counts.withoutChain += 1;
      return;
    }
    const tokens = demand.promptTokens + demand.answerTokens;
    const full = chain.find(({ endpointId, start, end }) => {
      const endpoint = this._truth.get(endpointId);
      if (endpoint === undefined) return true;
      const roomTokenLayers = getCapacityTokenLayers(endpoint, profile);
      return endpoint.ownLoad.tokenLayers + tokens * (end - start) > roomTokenLayers;
    });
    if (full !== undefined) {
      if (isCounted) this._counts.refused += 1;
      const told = this._options.areRefusalsTold ? this._views : [view];
      for (const each of told) each.get(full.endpointId)?.noteFull(this._nowMs);
      return;
    }
    this._start(view, chain, demand, isCounted);
  }

  private _start(
    view: EndpointTable,
    chain: NonNullable<ReturnType<ChainChooser["choose"]>>,
    demand: { readonly promptTokens: number; readonly answerTokens: number },
    isCounted: boolean,
  ): void {
    const tokens = demand.promptTokens + demand.answerTokens;
    const reservation = new ChainReservation(view, chain, tokens);
    const truth = new ChainReservation(this._truth, chain, tokens);
    const { tokenMs, prefillMs } = this._getTimes(chain, demand.promptTokens, tokens);
    const endsAtMs = this._nowMs + prefillMs + tokenMs * demand.answerTokens;
    this._running.push({ endsAtMs, reservation, truth });
    if (!isCounted) return;
    if (chain.some(({ endpointId }) => this._isCrowded(endpointId))) this._counts.queued += 1;
    this._counts.tokenMs += tokenMs;
    this._counts.stages += chain.length;
    const [first] = chain;
    if (first !== undefined)
      this._starts.set(first.endpointId, (this._starts.get(first.endpointId) ?? 0) + 1);
  }

  private _isCrowded(endpointId: string): boolean {
    const endpoint = this._truth.get(endpointId);
    if (endpoint === undefined) return false;
    return endpoint.ownLoad.requests > crowdedShare * getUnqueuedRequests(endpoint, this._options.profile);
  }

  private _getTimes(
    chain: NonNullable<ReturnType<ChainChooser["choose"]>>,
    promptTokens: number,
    tokens: number,
  ): { tokenMs: number; prefillMs: number } {
    const { profile } = this._options;
    let tokenMs = 0;
    let prefillMs = 0;
    for (const { endpointId, start, end } of chain) {
      const endpoint = this._truth.get(endpointId);
      const kind = endpoint === undefined ? undefined : getKind(endpoint, profile);
      if (endpoint === undefined || kind === undefined) continue;
      const share = (end - start) / profile.layerCount;
      tokenMs += hopMs + share * getStepMs(profile, endpoint.ownLoad.requests, tokens) * kind.stepFactor;
      const readMs = (promptTokens / profile.prefillTokensPerSecond) * utils.msPerSecond;
      prefillMs += share * readMs * kind.prefillFactor;
    }
    return { tokenMs, prefillMs };
  }

  private _getResult(): ManyChoosersResult {
    const { requests, refused, withoutChain, queued, tokenMs, stages } = this._counts;
    const firsts = this._truth.getAll().filter((endpoint) => endpoint.listed.layers[0]?.start === 0);
    const started = utils.getSum([...this._starts.values()]);
    const busiest = Math.max(...this._starts.values());
    return {
      requests,
      refused,
      withoutChain,
      queued,
      busiestToMean: (busiest * firsts.length) / started,
      tokenMs: tokenMs / started,
      chainLength: stages / started,
    };
  }
}

/** Engines with the layers that the planner gives them. */
function planZone({ profile, engines }: ManyChoosersOptions): ListedEndpoint[] {
  const model = toCopyModel(profile);
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
  const held = members.map(({ engine }) => ({ engine, start: 0, end: 0, ...first.get(engine.name) }));
  const burstRequests = placement.getBurstRequests(
    held.map(({ engine }) => engine),
    model,
  );
  const spans = placement.planBalance(held, { ...model, burstRequests });
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

/** A Poisson number by Knuth's method; fine for small means. */
function drawPoisson(mean: number, random: utils.RandomSource): number {
  const limit = Math.exp(-mean);
  let count = -1;
  for (let product = 1; product > limit || count < 0; product *= random.nextUnit()) count += 1;
  return count;
}
