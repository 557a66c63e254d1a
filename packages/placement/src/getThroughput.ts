/** The throughput of a placement, and the upper bound for all placements. */
import type { LayerRange, Placement, PlacementEngine } from "./PlacementEngine.js";
import { getEngineRate } from "./PlacementEngine.js";

interface Arc {
  readonly to: number;
  capacity: number;
  readonly reverse: number;
}

/**
 * Returns the tokens per second of a placement: the maximum flow from the first layer boundary to the last, where each engine is an arc
 * over its layers with its rate as capacity (shortest augmenting paths; Edmonds and Karp, 1972).
 */
export function getThroughput(
  engines: readonly PlacementEngine[],
  placement: Placement,
  layerCount: number,
): number {
  const arcs: Arc[][] = Array.from({ length: layerCount + 1 }, () => []);
  for (const [range, capacity] of sumByRange(engines, placement)) addArc(arcs, range, capacity);
  let flow = 0;
  for (;;) {
    const added = augment(arcs, layerCount);
    if (added <= 0) return flow;
    flow += added;
  }
}

/**
 * Returns the upper bound of the throughput of any placement, in tokens per second: each token needs `layerCount` layer applications, and
 * the engines together can't exceed the sum of their rates (work conservation; the single-resource case of the utilisation law, Denning
 * and Buzen, 1978).
 */
export function getHardwareBound(engines: readonly PlacementEngine[], layerCount: number): number {
  return engines.reduce((sum, engine) => sum + engine.layersPerSecond, 0) / layerCount;
}

/** Returns the total rate of the engines of each range, so that replicas of a range are one arc, which keeps the graph small. */
function sumByRange(engines: readonly PlacementEngine[], placement: Placement): [LayerRange, number][] {
  const sums = new Map<string, [LayerRange, number]>();
  for (const engine of engines) {
    const range = placement.get(engine.name);
    if (range === undefined) continue;
    const key = range.join("-");
    const rate = getEngineRate(engine, range[1] - range[0]);
    sums.set(key, [range, (sums.get(key)?.[1] ?? 0) + rate]);
  }
  return [...sums.values()];
}

function addArc(arcs: Arc[][], [from, to]: LayerRange, capacity: number): void {
  const forward = arcs[from];
  const backward = arcs[to];
  if (forward === undefined || backward === undefined) return;
  forward.push({ to, capacity, reverse: backward.length });
  backward.push({ to: from, capacity: 0, reverse: forward.length - 1 });
}

/** Augments the flow along a shortest path with residual capacity; returns the added flow, 0 if there is no path. */
function augment(arcs: Arc[][], sink: number): number {
  const predecessors = new Map<number, { from: number; arc: Arc }>();
  const queue = [0];
  while (queue.length > 0 && !predecessors.has(sink)) {
    const node = queue.shift() ?? 0;
    for (const arc of arcs[node] ?? []) {
      if (arc.capacity <= 1e-9 || arc.to === 0 || predecessors.has(arc.to)) continue;
      predecessors.set(arc.to, { from: node, arc });
      queue.push(arc.to);
    }
  }
  if (!predecessors.has(sink)) return 0;
  const path: Arc[] = [];
  for (let node = sink; node !== 0;) {
    const step = predecessors.get(node);
    if (step === undefined) return 0;
    path.push(step.arc);
    node = step.from;
  }
  const added = Math.min(...path.map((arc) => arc.capacity));
  for (const arc of path) {
    arc.capacity -= added;
    const back = arcs[arc.to]?.[arc.reverse];
    if (back !== undefined) back.capacity += added;
  }
  return added;
}
