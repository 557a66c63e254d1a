/**
 * Placement of complete copies of a model in an availability zone with memory for requests: the memory of an accelerator beside its layers
 * is used for the KV cache, and the engine with the fewest tokens limits the tokens of its chain.
 */
import { utils } from "@shedtiller/common";
import { equalizeFirstEngines } from "./equalizeFirstEngines.js";

/** An engine to which layers can be assigned. */
export interface CopyEngine {
  readonly name: string;
  readonly memoryMb: number;
  /** Factor on the duration of a token step; higher is slower. */
  readonly stepFactor: number;
}

/** Sizes and speed of the model, and the demand of a usual request. */
export interface CopyModel {
  readonly layerCount: number;
  readonly layerMb: number;
  /** KV cache size of one token in one layer. */
  readonly kvMbPerTokenLayer: number;
  readonly tokensPerRequest: number;
  readonly answerTokens: number;
  /** Duration of one token step over all layers at factor 1, without the time for concurrent requests. */
  readonly stepMs: number;
  /** Time that each concurrent request adds to a token step. */
  readonly stepMsPerRequest: number;
  /** Time that each engine of a chain adds to a token for the transfer between engines. */
  readonly hopMs: number;
  /** KV cache headroom of each engine in requests, see {@link getBurstRequests}; 0 if omitted. */
  readonly burstRequests?: number;
  /**
   * Weight of the concentration of first engines, as the logarithm of a factor on the rate: a plan may lose so much of the rate for streams
   * that begin at many engines instead of one. 0 if omitted.
   */
  readonly firstEngineWeight?: number | undefined;
}

/** The layers of an engine, `end` exclusive. */
export interface PlannedSpan {
  readonly name: string;
  readonly start: number;
  readonly end: number;
}

/**
 * Factor on the rate for a plan with two or more copies, with which a zone survives the loss of any one engine. On days with crashes, one
 * copy in every zone lost more to crashes than its larger KV cache gained (0.10 of the value served instead of 0.59), while two copies in
 * every zone left too little KV cache in a small zone.
 */
const secondCopyCredit = 1.6;
/** Minimum number of usual requests for which a copy needs KV cache; below it, a copy is not worth the memory of its weights. */
const minRequestsPerCopy = 12;
/** Assumed share of engines that are down; it lowers the value of long chains. */
const engineLossShare = 0.03;
const maxImprovementRounds = 40;
/** A move or swap has to raise the value by more than this factor; smaller gains are rounding errors. */
const minGainFactor = 1.0001;
/** Value in the search of a copy with KV cache for `minRequestsPerCopy` requests, relative to a rate of one request per second. */
const completeCopyValue = 1e6;
/** Value in the search of a copy's KV cache for each request up to `minRequestsPerCopy`. */
const requestCapacityValue = 1e3;
/** Upper end of the bisection for the most tokens beside the layers. */
const maxTokens = 1e7;
/** Number of halvings of the bisection; they narrow the interval to far less than one token. */
const bisectionSteps = 40;

/** Engines that have one copy of the model together. */
interface CopyGroup {
  readonly engines: readonly CopyEngine[];
  readonly rate: number;
  readonly requests: number;
}

/** Plans the copies of the model in a zone. Returns no spans if the model does not fit in the zone's memory. */
export function planLayerCopies(engines: readonly CopyEngine[], model: CopyModel): PlannedSpan[] {
  const sorted = [...engines].sort(
    (a, b) => a.stepFactor - b.stepFactor || b.memoryMb - a.memoryMb || compareNames(a, b),
  );
  const maxCopies = Math.floor(
    utils.getSum(sorted.map((engine) => engine.memoryMb)) / (model.layerCount * model.layerMb),
  );
  let best: CopyGroup[] | undefined;
  for (let copies = 1; copies <= maxCopies; copies++) {
    const groups = improve(createGroups(sorted, copies, model), model);
    if (isBetter(groups, best)) best = groups;
  }
  const chains = (best ?? []).map((group) => group.engines);
  const ordered = model.firstEngineWeight === undefined ? chains : equalizeFirstEngines(chains);
  return ordered.flatMap((chain) => spreadLayers(chain, model) ?? []);
}

/** Returns the number of layers that fit on an engine beside the KV cache of `tokens` tokens. */
export function getLayerCapacity(engine: CopyEngine, tokens: number, model: CopyModel): number {
  const perLayerMb = model.layerMb + tokens * model.kvMbPerTokenLayer;
  return Math.min(model.layerCount, Math.floor(engine.memoryMb / perLayerMb));
}

/** Returns the number of tokens whose KV cache fits on an engine beside `layers` layers. */
export function getKvTokenCapacity(engine: CopyEngine, layers: number, model: CopyModel): number {
  if (layers <= 0) return 0;
  return Math.max(0, engine.memoryMb - layers * model.layerMb) / (layers * model.kvMbPerTokenLayer);
}

function compareNames(a: CopyEngine, b: CopyEngine): number {
  return a.name < b.name ? -1 : 1;
}

/**
 * Returns whether a plan is better: the higher rate wins, with a credit for a second copy. A plan with a copy that has too little KV cache
 * is never better.
 */
function isBetter(groups: readonly CopyGroup[], best: readonly CopyGroup[] | undefined): boolean {
  if (groups.some((group) => group.requests < minRequestsPerCopy)) return false;
  if (best === undefined) return true;
  const credit = groups.length > 1 && best.length === 1 ? secondCopyCredit : 1;
  return getTotalRate(groups) * credit > getTotalRate(best);
}

function getTotalRate(groups: readonly CopyGroup[]): number {
  return utils.getSum(groups.map((group) => group.rate));
}

/** Cuts the engines, fastest first, into groups of about equal memory. */
function createGroups(sorted: readonly CopyEngine[], copies: number, model: CopyModel): CopyGroup[] {
  const total = utils.getSum(sorted.map((engine) => engine.memoryMb));
  const partitions: CopyEngine[][] = Array.from({ length: copies }, () => []);
  let sumMb = 0;
  for (const engine of sorted) {
    const index = Math.min(copies - 1, Math.floor(((sumMb + engine.memoryMb / 2) / total) * copies));
    partitions[index]?.push(engine);
    sumMb += engine.memoryMb;
  }
  return partitions.map((partition) => createGroup(partition, model));
}

/** Moves or swaps engines between groups while that raises the value. */
function improve(start: readonly CopyGroup[], model: CopyModel): CopyGroup[] {
  let groups = [...start];
  for (let round = 0; round < maxImprovementRounds; round++) {
    const next = findBetter(groups, model);
    if (next === undefined) break;
    groups = next;
  }
  return groups;
}

/** Finds the move or swap of engines between groups that raises the value most. */
function findBetter(groups: readonly CopyGroup[], model: CopyModel): CopyGroup[] | undefined {
  let best: CopyGroup[] | undefined;
  let bestValue = getValue(groups);
  for (const [from, source] of groups.entries()) {
    for (const [to, target] of groups.entries()) {
      if (from === to) continue;
      for (const [newSource, newTarget] of getExchanges(source, target)) {
        const candidate = [...groups];
        candidate[from] = createGroup(newSource, model);
        candidate[to] = createGroup(newTarget, model);
        const value = getValue(candidate);
        if (value <= bestValue * minGainFactor) continue;
        best = candidate;
        bestValue = value;
      }
    }
  }
  return best;
}

/** Returns the value of a plan. Copies with KV cache for enough requests dominate it, so that the search completes all copies first. */
function getValue(groups: readonly CopyGroup[]): number {
  const complete = groups.filter((group) => group.requests >= minRequestsPerCopy).length;
  const capacity = utils.getSum(groups.map((group) => Math.min(minRequestsPerCopy, group.requests)));
  return complete * completeCopyValue + capacity * requestCapacityValue + getTotalRate(groups);
}

/** Yields the engines of both groups after each single move or swap; equal engines are tried only once. */
function* getExchanges(source: CopyGroup, target: CopyGroup): Generator<[CopyEngine[], CopyEngine[]]> {
  for (const moved of getDistinct(source.engines)) {
    const remaining = source.engines.filter((engine) => engine !== moved);
    yield [remaining, [...target.engines, moved]];
    for (const other of getDistinct(target.engines)) {
      yield [
        [...remaining, other],
        [...target.engines.filter((engine) => engine !== other), moved],
      ];
    }
  }
}

function getDistinct(engines: readonly CopyEngine[]): CopyEngine[] {
  return [...new Map(engines.map((engine) => [`${engine.memoryMb}|${engine.stepFactor}`, engine])).values()];
}

/** Creates a group with the rate of its copy. If the model does not fit, `requests` is negative, so that the search can improve it. */
function createGroup(engines: readonly CopyEngine[], model: CopyModel): CopyGroup {
  const spans = spreadLayers(engines, model);
  if (spans === undefined) {
    const missingMb =
      model.layerCount * model.layerMb - utils.getSum(engines.map((engine) => engine.memoryMb));
    return { engines, rate: 0, requests: -missingMb / (model.layerCount * model.layerMb) };
  }
  return { engines, ...estimateRate(engines, spans, model) };
}

/** Estimates how many requests a chain can run concurrently, and how many it completes per second. */
function estimateRate(
  engines: readonly CopyEngine[],
  spans: readonly PlannedSpan[],
  model: CopyModel,
): { requests: number; rate: number } {
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  let tokens = Number.POSITIVE_INFINITY;
  let factor = 0;
  for (const span of spans) {
    const engine = byName.get(span.name);
    if (engine === undefined) continue;
    const layers = span.end - span.start;
    tokens = Math.min(tokens, getKvTokenCapacity(engine, layers, model));
    factor += (layers / model.layerCount) * engine.stepFactor;
  }
  const requests = tokens / model.tokensPerRequest;
  // The requests are distributed over the engines of the chain, so each step of an engine processes only a part of them.
  const stepMs = model.stepMs + (model.stepMsPerRequest * requests) / spans.length;
  const tokenMs = spans.length * model.hopMs + factor * stepMs;
  const perSecond = (requests * utils.msPerSecond) / (tokenMs * model.answerTokens);
  return { requests, rate: perSecond * (1 - engineLossShare) ** spans.length };
}

/**
 * Distributes the layers over the engines of a chain so that the engine with the fewest tokens has as many as possible. The token count is
 * the largest one beside which all layers fit on the engines together (a bottleneck allocation, found by bisection).
 */
function spreadLayers(engines: readonly CopyEngine[], model: CopyModel): PlannedSpan[] | undefined {
  const count = (tokens: number): number =>
    utils.getSum(engines.map((engine) => getLayerCapacity(engine, tokens, model)));
  if (count(1) < model.layerCount) return undefined;
  const tokens = findMaxTokens(count, model.layerCount);
  const spans: PlannedSpan[] = [];
  let start = 0;
  for (const engine of engines) {
    const end = Math.min(model.layerCount, start + getLayerCapacity(engine, tokens, model));
    if (end > start) spans.push({ name: engine.name, start, end });
    start = end;
  }
  return spans;
}

/** Finds the largest number of tokens for which `countLayers` returns at least `layerCount`. */
function findMaxTokens(countLayers: (tokens: number) => number, layerCount: number): number {
  let low = 1;
  let high = maxTokens;
  for (let step = 0; step < bisectionSteps; step++) {
    const middle = (low + high) / 2;
    if (countLayers(middle) >= layerCount) low = middle;
    else high = middle;
  }
  return low;
}
