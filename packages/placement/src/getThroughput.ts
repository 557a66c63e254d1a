/** The throughput that a placement allows, and the bound that no placement can pass. */
import type { LayerRange, Placement, PlacementEngine } from "./PlacementEngine.js";
import { getEngineRate } from "./PlacementEngine.js";

interface Arc {
  readonly to: number;
  capacity: number;
  readonly reverse: number;
}

/**
 * Tokens a second through a placement: the largest flow from layer boundary 0 to the last one, where each engine is an
 * arc over its layers with its rate as capacity (max-flow by shortest augmenting paths; Edmonds and Karp, 1972).
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
 * Upper bound for any placement: each token needs `layerCount` layer applications, and the engines together give no
 * more than their sum (work conservation; the single-resource case of the utilisation law, Denning and Buzen, 1978).
 */
export function getHardwareBound(engines: readonly PlacementEngine[], layerCount: number): number {
  return engines.reduce((sum, engine) => sum + engine.layersPerSecond, 0) / layerCount;
}

/** Replicas of one range act as one arc, which keeps the graph small. */
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

/** Finds a shortest path with room and fills it; gives what it took. */
function augment(arcs: Arc[][], sink: number): number {
  const cameBy = new Map<number, { from: number; arc: Arc }>();
  const queue = [0];
  while (queue.length > 0 && !cameBy.has(sink)) {
    const node = queue.shift() ?? 0;
    for (const arc of arcs[node] ?? []) {
      if (arc.capacity <= 1e-9 || arc.to === 0 || cameBy.has(arc.to)) continue;
      cameBy.set(arc.to, { from: node, arc });
      queue.push(arc.to);
    }
  }
  if (!cameBy.has(sink)) return 0;
  const path: Arc[] = [];
  for (let node = sink; node !== 0;) {
    const step = cameBy.get(node);
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
