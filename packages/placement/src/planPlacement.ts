/** The planner: contiguous layer ranges on mixed engines, each availability zone whole in itself where it can be. */
import { utils } from "@shedtiller/common";
import { getThroughput } from "./getThroughput.js";
import type { LayerRange, Placement, PlacementEngine } from "./PlacementEngine.js";

const mostStages = 8;
const improvementRounds = 12;
const largestForSwaps = 40;

/** Plans a model of `layerCount` layers. Gives an empty placement where the engines' memory does not hold it. */
export function planPlacement(engines: readonly PlacementEngine[], layerCount: number): Placement {
  const placement = new Map<string, LayerRange>();
  for (const pool of groupIntoPools(engines, layerCount)) {
    for (const [name, range] of planPool(pool, layerCount)) placement.set(name, range);
  }
  return placement;
}

/** A zone that can hold the whole model is a pool; what is left of the others is one pool together. */
function groupIntoPools(engines: readonly PlacementEngine[], layerCount: number): PlacementEngine[][] {
  const byZone = new Map<string, PlacementEngine[]>();
  for (const engine of engines) {
    byZone.set(engine.availabilityZone, [...(byZone.get(engine.availabilityZone) ?? []), engine]);
  }
  const whole: PlacementEngine[][] = [];
  const rest: PlacementEngine[] = [];
  for (const zone of byZone.values()) {
    const memory = utils.getSum(zone.map((engine) => Math.min(engine.memoryLayers, layerCount)));
    if (memory >= layerCount) whole.push(zone);
    else rest.push(...zone);
  }
  const restMemory = utils.getSum(rest.map((engine) => engine.memoryLayers));
  if (rest.length > 0 && restMemory >= layerCount) whole.push(rest);
  else if (rest.length > 0 && whole[0] !== undefined) whole[0].push(...rest);
  return whole;
}

/** Tries every number of stages and keeps the best; fewer stages win a tie, since each one adds latency. */
function planPool(pool: readonly PlacementEngine[], layerCount: number): Placement {
  let best: { placement: Placement; rate: number } = { placement: new Map(), rate: 0 };
  const limit = Math.min(mostStages, pool.length, layerCount);
  for (let stages = 1; stages <= limit; stages++) {
    const groups = assignGroups(pool, stages, layerCount);
    if (groups === undefined) continue;
    const placement = toPlacement(groups);
    const rate = getThroughput(pool, placement, layerCount);
    if (rate > best.rate * 1.0001) best = { placement, rate };
  }
  return best.placement;
}

/** The engines that hold one range. */
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
 * Sorted by memory, the engines are cut into runs of about equal rate (so that small memories stand together), each run
 * gets layers by its rate within its memory, and then engines move or swap while that lifts the slowest stage.
 */
function assignGroups(
  pool: readonly PlacementEngine[],
  stages: number,
  layerCount: number,
): Group[] | undefined {
  const groups = cutIntoRuns(pool, stages);
  if (groups === undefined || !shareLayers(groups, layerCount)) return undefined;
  for (let round = 0; round < improvementRounds; round++) if (!improve(groups, layerCount)) break;
  return groups;
}

function cutIntoRuns(pool: readonly PlacementEngine[], stages: number): Group[] | undefined {
  const sorted = [...pool].sort(
    (a, b) => a.memoryLayers - b.memoryLayers || b.layersPerSecond - a.layersPerSecond,
  );
  const total = utils.getSum(sorted.map((engine) => engine.layersPerSecond));
  const groups: Group[] = Array.from({ length: stages }, () => ({ engines: [], layers: 0 }));
  let sum = 0;
  let latest = -1;
  for (const [index, engine] of sorted.entries()) {
    const byRate = Math.floor(((sum + engine.layersPerSecond / 2) / total) * stages);
    // Every group gets at least one engine: never so late that too few are left for the groups behind.
    const earliest = stages - (sorted.length - index);
    const target = Math.min(stages - 1, latest + 1, Math.max(byRate, earliest, 0));
    groups[target]?.engines.push(engine);
    latest = target;
    sum += engine.layersPerSecond;
  }
  return groups.every((group) => group.engines.length > 0) ? groups : undefined;
}

/** Gives each group layers by its rate: one each, then always to the group that stays the fastest with one more. */
function shareLayers(groups: readonly Group[], layerCount: number): boolean {
  for (const group of groups) group.layers = 1;
  for (let left = layerCount - groups.length; left > 0; left--) {
    const open = groups.filter((group) => group.layers < getMemory(group));
    const next = pickBest(open, (group) => getRate(group) / (group.layers + 1));
    if (next === undefined) return false;
    next.layers += 1;
  }
  return groups.every((group) => group.layers <= getMemory(group));
}

/** Makes the one move or swap that lifts the slowest stage most. Tells whether there was one. */
function improve(groups: Group[], layerCount: number): boolean {
  let best: { groups: Group[]; rate: number } | undefined;
  const consider = (candidate: Group[]): void => {
    if (candidate.some((group) => group.engines.length === 0)) return;
    if (!shareLayers(candidate, layerCount)) return;
    const rate = getBottleneck(candidate);
    if (rate > (best?.rate ?? getBottleneck(groups)) * 1.0001) best = { groups: candidate, rate };
  };
  const size = utils.getSum(groups.map((group) => group.engines.length));
  for (const [from, source] of groups.entries()) {
    for (const engine of distinct(source.engines)) {
      for (let to = 0; to < groups.length; to++) if (to !== from) consider(move(groups, engine, from, to));
      if (size <= largestForSwaps) for (const swapped of getSwaps(groups, engine, from)) consider(swapped);
    }
  }
  if (best === undefined) return false;
  groups.splice(0, groups.length, ...best.groups);
  return true;
}

/** One of each kind is enough to try: engines of one kind are alike. */
function distinct(engines: readonly PlacementEngine[]): PlacementEngine[] {
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
    for (const other of distinct(groups[to]?.engines ?? [])) {
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

function pickBest<T>(items: readonly T[], getValue: (item: T) => number): T | undefined {
  return items.reduce<T | undefined>(
    (best, item) => (best === undefined || getValue(item) > getValue(best) ? item : best),
    undefined,
  );
}
