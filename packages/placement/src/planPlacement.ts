/** Placement of contiguous layer ranges on heterogeneous engines. Each availability zone with enough memory gets the whole model. */
import { utils } from "@shedtiller/common";
import { getThroughput } from "./getThroughput.js";
import type { LayerRange, Placement, PlacementEngine } from "./PlacementEngine.js";

const maxStages = 8;
const maxImprovementRounds = 12;
/** Largest number of engines in a pool for which swaps are tried besides moves. */
const maxEnginesForSwaps = 40;

/** Plans the placement of a model with `layerCount` layers. Returns an empty placement if the model does not fit in the engines' memory. */
export function planPlacement(engines: readonly PlacementEngine[], layerCount: number): Placement {
  const placement = new Map<string, LayerRange>();
  for (const pool of groupIntoPools(engines, layerCount)) {
    for (const [name, range] of planPool(pool, layerCount)) placement.set(name, range);
  }
  return placement;
}

/**
 * Groups the engines into pools: one for each zone in which the whole model fits, and one for all other zones together. If the model does
 * not fit in the latter, its engines are added to the first pool.
 */
function groupIntoPools(engines: readonly PlacementEngine[], layerCount: number): PlacementEngine[][] {
  const byZone = new Map<string, PlacementEngine[]>();
  for (const engine of engines) {
    byZone.set(engine.availabilityZone, [...(byZone.get(engine.availabilityZone) ?? []), engine]);
  }
  const pools: PlacementEngine[][] = [];
  const remaining: PlacementEngine[] = [];
  for (const zone of byZone.values()) {
    const memory = utils.getSum(zone.map((engine) => Math.min(engine.memoryLayers, layerCount)));
    if (memory >= layerCount) pools.push(zone);
    else remaining.push(...zone);
  }
  const remainingMemory = utils.getSum(remaining.map((engine) => engine.memoryLayers));
  if (remaining.length > 0 && remainingMemory >= layerCount) pools.push(remaining);
  else if (remaining.length > 0 && pools[0] !== undefined) pools[0].push(...remaining);
  return pools;
}

/** Returns the best placement over all numbers of stages; fewer stages win a tie, since each stage adds latency. */
function planPool(pool: readonly PlacementEngine[], layerCount: number): Placement {
  let best: { placement: Placement; rate: number } = { placement: new Map(), rate: 0 };
  const limit = Math.min(maxStages, pool.length, layerCount);
  for (let stages = 1; stages <= limit; stages++) {
    const groups = assignGroups(pool, stages, layerCount);
    if (groups === undefined) continue;
    const placement = toPlacement(groups);
    const rate = getThroughput(pool, placement, layerCount);
    if (rate > best.rate * 1.0001) best = { placement, rate };
  }
  return best.placement;
}

/** The engines that get the same range of layers. */
interface Group {
  engines: PlacementEngine[];
  layers: number;
}

function getRate(group: Group): number {
  return utils.getSum(group.engines.map((engine) => engine.layersPerSecond));
}

function getMemory(group: Group): number {
  return Math.min(...group.engines.map((engine) => engine.memoryLayers));
}

function getBottleneck(groups: readonly Group[]): number {
  return Math.min(...groups.map((group) => getRate(group) / group.layers));
}

/**
 * Assigns the engines and layers to stages. The engines, sorted by memory, are cut into groups of about equal rate, so that engines with
 * little memory are in the same group. Each group gets layers in proportion to its rate within its memory. Then engines are moved or
 * swapped between groups as long as that raises the rate of the slowest stage.
 */
function assignGroups(
  pool: readonly PlacementEngine[],
  stages: number,
  layerCount: number,
): Group[] | undefined {
  const groups = createGroups(pool, stages);
  if (groups === undefined || !distributeLayers(groups, layerCount)) return undefined;
  for (let round = 0; round < maxImprovementRounds; round++) if (!improve(groups, layerCount)) break;
  return groups;
}

function createGroups(pool: readonly PlacementEngine[], stages: number): Group[] | undefined {
  const sorted = [...pool].sort(
    (a, b) => a.memoryLayers - b.memoryLayers || b.layersPerSecond - a.layersPerSecond,
  );
  const total = utils.getSum(sorted.map((engine) => engine.layersPerSecond));
  const groups: Group[] = Array.from({ length: stages }, () => ({ engines: [], layers: 0 }));
  let sum = 0;
  let previous = -1;
  for (const [index, engine] of sorted.entries()) {
    const byRate = Math.floor(((sum + engine.layersPerSecond / 2) / total) * stages);
    // Every group needs at least one engine, so an engine goes to a later group if too few would remain for the groups after it.
    const earliest = stages - (sorted.length - index);
    const target = Math.min(stages - 1, previous + 1, Math.max(byRate, earliest, 0));
    groups[target]?.engines.push(engine);
    previous = target;
    sum += engine.layersPerSecond;
  }
  return groups.every((group) => group.engines.length > 0) ? groups : undefined;
}

/**
 * Distributes the layers to the groups: one to each group, then each further layer to the group that remains the fastest with it. Returns
 * false if the layers don't fit.
 */
function distributeLayers(groups: readonly Group[], layerCount: number): boolean {
  for (const group of groups) group.layers = 1;
  for (let left = layerCount - groups.length; left > 0; left--) {
    const candidates = groups.filter((group) => group.layers < getMemory(group));
    const next = findBest(candidates, (group) => getRate(group) / (group.layers + 1));
    if (next === undefined) return false;
    next.layers += 1;
  }
  return groups.every((group) => group.layers <= getMemory(group));
}

/** Applies the move or swap that raises the rate of the slowest stage most; returns whether any raised it. */
function improve(groups: Group[], layerCount: number): boolean {
  let best: { groups: Group[]; rate: number } | undefined;
  const consider = (candidate: Group[]): void => {
    if (candidate.some((group) => group.engines.length === 0)) return;
    if (!distributeLayers(candidate, layerCount)) return;
    const rate = getBottleneck(candidate);
    if (rate > (best?.rate ?? getBottleneck(groups)) * 1.0001) best = { groups: candidate, rate };
  };
  const size = utils.getSum(groups.map((group) => group.engines.length));
  for (const [from, source] of groups.entries()) {
    for (const engine of getDistinct(source.engines)) {
      for (let to = 0; to < groups.length; to++) if (to !== from) consider(move(groups, engine, from, to));
      if (size <= maxEnginesForSwaps) for (const swapped of getSwaps(groups, engine, from)) consider(swapped);
    }
  }
  if (best === undefined) return false;
  groups.splice(0, groups.length, ...best.groups);
  return true;
}

/** Returns one engine of each kind, since engines with equal rate and memory are interchangeable. */
function getDistinct(engines: readonly PlacementEngine[]): PlacementEngine[] {
  const kinds = new Map(
    engines.map((engine) => [`${engine.layersPerSecond}|${engine.memoryLayers}`, engine]),
  );
  return [...kinds.values()];
}

function copyGroups(groups: readonly Group[]): Group[] {
  return groups.map((group) => ({ engines: [...group.engines], layers: group.layers }));
}

function move(groups: readonly Group[], engine: PlacementEngine, from: number, to: number): Group[] {
  const copy = copyGroups(groups);
  const source = copy[from];
  if (source !== undefined) source.engines = source.engines.filter((other) => other !== engine);
  copy[to]?.engines.push(engine);
  return copy;
}

function* getSwaps(groups: readonly Group[], engine: PlacementEngine, from: number): Generator<Group[]> {
  for (let to = from + 1; to < groups.length; to++) {
    for (const other of getDistinct(groups[to]?.engines ?? [])) {
      yield move(move(groups, engine, from, to), other, to, from);
    }
  }
}

function toPlacement(groups: readonly Group[]): Placement {
  const placement = new Map<string, LayerRange>();
  let first = 0;
  for (const group of groups) {
    for (const engine of group.engines) placement.set(engine.name, [first, first + group.layers]);
    first += group.layers;
  }
  return placement;
}

function findBest<T>(items: readonly T[], getValue: (item: T) => number): T | undefined {
  return items.reduce<T | undefined>(
    (best, item) => (best === undefined || getValue(item) > getValue(best) ? item : best),
    undefined,
  );
}
