/**
 * Plans whole copies of a model for one availability zone, with room for requests: what the layers leave of an
 * accelerator's memory holds the KV cache, and a chain holds as many tokens as its tightest engine.
 */
import { utils } from "@shedtiller/common";

/** An accelerator that can hold layers. */
export interface CopyEngine {
  readonly name: string;
  readonly memoryMb: number;
  /** Factor on the duration of token steps. */
  readonly stepFactor: number;
}

/** The model, and what a usual request needs. */
export interface CopyModel {
  readonly layerCount: number;
  readonly layerMb: number;
  /** KV cache of one token in one layer. */
  readonly kvMbPerTokenLayer: number;
  readonly tokensPerRequest: number;
  readonly answerTokens: number;
  /** One token step over all layers at factor 1, without requests. */
  readonly stepMs: number;
  /** What each request side by side adds to that. */
  readonly stepMsPerRequest: number;
  /** Time that each boundary between engines adds to a token. */
  readonly hopMs: number;
  /** Room that each engine should have beyond what it serves, in requests (see `getBurstRequests`); 0 where left out. */
  readonly burstRequests?: number;
}

/** The layers of one engine, `end` exclusive. */
export interface PlannedSpan {
  readonly name: string;
  readonly start: number;
  readonly end: number;
}

/**
 * With two copies a zone goes on when any one engine is lost; that is worth this factor on the rate. Measured on days
 * with crashes: one copy everywhere lost more to them than it won in room (0.10 of the worth instead of 0.59), two everywhere starved a
 * small zone.
 */
const secondCopyCredit = 1.6;
/** A copy that holds fewer usual requests than this is not worth its weights. */
const minRequestsPerCopy = 12;
/** Share of engines that are usually down; it makes long chains worth less. An assumption, not a measurement. */
const engineLossShare = 0.03;
const improvementRounds = 40;
/** A move or swap has to help by more than this factor; less is rounding. */
const worthwhileGain = 1.0001;
/** What a copy with enough room is worth in the search against a rate of one a second, and each request of room until then. */
const wholeCopyValue = 1e6;
const requestRoomValue = 1e3;
/** Where the search for the most tokens beside the layers begins. */
const tokensCeiling = 1e7;
/** Halvings of the interval of token counts; this many leave it far below one token. */
const bisectionSteps = 40;

/** Engines that hold one copy together. */
interface CopyGroup {
  readonly engines: readonly CopyEngine[];
  readonly rate: number;
  readonly requests: number;
}

/** Plans the copies of one zone. Gives nothing where its memory does not hold the model. */
export function planLayerCopies(engines: readonly CopyEngine[], model: CopyModel): PlannedSpan[] {
  const sorted = [...engines].sort(
    (a, b) => a.stepFactor - b.stepFactor || b.memoryMb - a.memoryMb || compareNames(a, b),
  );
  const most = Math.floor(
    utils.getSum(sorted.map((engine) => engine.memoryMb)) / (model.layerCount * model.layerMb),
  );
  let best: CopyGroup[] | undefined;
  for (let copies = 1; copies <= most; copies++) {
    const groups = improve(cutByMemory(sorted, copies, model), model);
    if (isBetter(groups, best)) best = groups;
  }
  return (best ?? []).flatMap((group) => spreadLayers(group.engines, model) ?? []);
}

/** Layers that an engine can hold while `tokens` tokens fit beside them. */
export function getLayerCapacity(engine: CopyEngine, tokens: number, model: CopyModel): number {
  const perLayerMb = model.layerMb + tokens * model.kvMbPerTokenLayer;
  return Math.min(model.layerCount, Math.floor(engine.memoryMb / perLayerMb));
}

/** Tokens that fit beside `layers` layers. */
export function getKvTokenCapacity(engine: CopyEngine, layers: number, model: CopyModel): number {
  if (layers <= 0) return 0;
  return Math.max(0, engine.memoryMb - layers * model.layerMb) / (layers * model.kvMbPerTokenLayer);
}

function compareNames(a: CopyEngine, b: CopyEngine): number {
  return a.name < b.name ? -1 : 1;
}

/** The higher rate wins, with some credit for a second copy; a copy without room for requests rules a plan out. */
function isBetter(groups: readonly CopyGroup[], best: readonly CopyGroup[] | undefined): boolean {
  if (groups.some((group) => group.requests < minRequestsPerCopy)) return false;
  if (best === undefined) return true;
  const credit = groups.length > 1 && best.length === 1 ? secondCopyCredit : 1;
  return getTotalRate(groups) * credit > getTotalRate(best);
}

function getTotalRate(groups: readonly CopyGroup[]): number {
  return utils.getSum(groups.map((group) => group.rate));
}

/** Cuts the engines, fastest first, into runs of about equal memory. */
function cutByMemory(sorted: readonly CopyEngine[], copies: number, model: CopyModel): CopyGroup[] {
  const total = utils.getSum(sorted.map((engine) => engine.memoryMb));
  const runs: CopyEngine[][] = Array.from({ length: copies }, () => []);
  let sumMb = 0;
  for (const engine of sorted) {
    const index = Math.min(copies - 1, Math.floor(((sumMb + engine.memoryMb / 2) / total) * copies));
    runs[index]?.push(engine);
    sumMb += engine.memoryMb;
  }
  return runs.map((run) => createGroup(run, model));
}

/** Moves or swaps engines between groups while that lifts the total rate. */
function improve(start: readonly CopyGroup[], model: CopyModel): CopyGroup[] {
  let groups = [...start];
  for (let round = 0; round < improvementRounds; round++) {
    const next = findBetter(groups, model);
    if (next === undefined) break;
    groups = next;
  }
  return groups;
}

/** Finds the one move or swap of engines between groups that helps most. */
function findBetter(groups: readonly CopyGroup[], model: CopyModel): CopyGroup[] | undefined {
  let best: CopyGroup[] | undefined;
  let bestValue = getValue(groups);
  for (const [from, source] of groups.entries()) {
    for (const [to, target] of groups.entries()) {
      if (from === to) continue;
      for (const [left, right] of getExchanges(source, target)) {
        const candidate = [...groups];
        candidate[from] = createGroup(left, model);
        candidate[to] = createGroup(right, model);
        const value = getValue(candidate);
        if (value <= bestValue * worthwhileGain) continue;
        best = candidate;
        bestValue = value;
      }
    }
  }
  return best;
}

/** Groups without enough room pull the value down hard, so that the search first makes every copy whole. */
function getValue(groups: readonly CopyGroup[]): number {
  const whole = groups.filter((group) => group.requests >= minRequestsPerCopy).length;
  const room = utils.getSum(groups.map((group) => Math.min(minRequestsPerCopy, group.requests)));
  return whole * wholeCopyValue + room * requestRoomValue + getTotalRate(groups);
}

/** All single moves and swaps; of engines that are alike one is enough. */
function* getExchanges(source: CopyGroup, target: CopyGroup): Generator<[CopyEngine[], CopyEngine[]]> {
  for (const moved of getDistinct(source.engines)) {
    const left = source.engines.filter((engine) => engine !== moved);
    yield [left, [...target.engines, moved]];
    for (const other of getDistinct(target.engines)) {
      yield [
        [...left, other],
        [...target.engines.filter((engine) => engine !== other), moved],
      ];
    }
  }
}

function getDistinct(engines: readonly CopyEngine[]): CopyEngine[] {
  return [...new Map(engines.map((engine) => [`${engine.memoryMb}|${engine.stepFactor}`, engine])).values()];
}

/** Rates the copy that some engines can hold together. */
function createGroup(engines: readonly CopyEngine[], model: CopyModel): CopyGroup {
  const spans = spreadLayers(engines, model);
  if (spans === undefined) {
    const missingMb =
      model.layerCount * model.layerMb - utils.getSum(engines.map((engine) => engine.memoryMb));
    return { engines, rate: 0, requests: -missingMb / (model.layerCount * model.layerMb) };
  }
  return { engines, ...rateChain(engines, spans, model) };
}

/** The requests that a chain holds, and how many it ends in a second. */
function rateChain(
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
  // The requests of a chain are spread over its engines, so each pass has only a part of them.
  const stepMs = model.stepMs + (model.stepMsPerRequest * requests) / spans.length;
  const tokenMs = spans.length * model.hopMs + factor * stepMs;
  const perSecond = (requests * utils.msPerSecond) / (tokenMs * model.answerTokens);
  return { requests, rate: perSecond * (1 - engineLossShare) ** spans.length };
}

/**
 * Gives each engine of a chain layers so that the tightest one holds the most tokens: the largest token count for which
 * the engines together hold all layers beside it (a bottleneck allocation, found by bisection).
 */
function spreadLayers(engines: readonly CopyEngine[], model: CopyModel): PlannedSpan[] | undefined {
  const count = (tokens: number): number =>
    utils.getSum(engines.map((engine) => getLayerCapacity(engine, tokens, model)));
  if (count(1) < model.layerCount) return undefined;
  const tokens = findMostTokens(count, model.layerCount);
  const spans: PlannedSpan[] = [];
  let start = 0;
  for (const engine of engines) {
    const end = Math.min(model.layerCount, start + getLayerCapacity(engine, tokens, model));
    if (end > start) spans.push({ name: engine.name, start, end });
    start = end;
  }
  return spans;
}

/** The most tokens beside which `countLayers` still gives all layers. */
function findMostTokens(countLayers: (tokens: number) => number, layerCount: number): number {
  let low = 1;
  let high = tokensCeiling;
  for (let step = 0; step < bisectionSteps; step++) {
    const middle = (low + high) / 2;
    if (countLayers(middle) >= layerCount) low = middle;
    else high = middle;
  }
  return low;
}
