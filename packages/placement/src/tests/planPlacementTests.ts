import { utils } from "@shedtiller/common";
import test from "ava";
import { getHardwareBound, getThroughput } from "../getThroughput.js";
import { planPlacement } from "../planPlacement.js";
import type { LayerRange, PlacementEngine } from "../PlacementEngine.js";

function createEngine(
  name: string,
  layersPerSecond: number,
  memoryLayers = 32,
  availabilityZone = "z",
): PlacementEngine {
  return { name, availabilityZone, layersPerSecond, memoryLayers };
}

/** Returns the best throughput over all assignments of ranges by exhaustive search, for small cases. */
function findOptimum(engines: readonly PlacementEngine[], layerCount: number): number {
  const ranges: (LayerRange | undefined)[] = [undefined];
  for (let first = 0; first < layerCount; first++)
    for (let end = first + 1; end <= layerCount; end++) ranges.push([first, end]);
  let best = 0;
  const placement = new Map<string, LayerRange>();
  const assign = (index: number): void => {
    const engine = engines[index];
    if (engine === undefined) {
      best = Math.max(best, getThroughput(engines, placement, layerCount));
      return;
    }
    for (const range of ranges) {
      if (range === undefined) placement.delete(engine.name);
      else if (range[1] - range[0] > engine.memoryLayers) continue;
      else placement.set(engine.name, range);
      assign(index + 1);
    }
    placement.delete(engine.name);
  };
  assign(0);
  return best;
}

test("the throughput of a chain is that of its bottleneck, and parallel chains add up", (t) => {
  const engines = [createEngine("a", 160), createEngine("b", 320), createEngine("c", 320)];
  const chain = new Map<string, LayerRange>([
    ["a", [0, 16]],
    ["b", [16, 32]],
  ]);
  t.is(getThroughput(engines, chain, 32), 10);
  t.is(getThroughput(engines, new Map([...chain, ["c", [0, 32]]]), 32), 20);
  t.is(getThroughput(engines, new Map([["a", [0, 16]]]), 32), 0);
});

test("on small cases the planner comes within a tenth of the exhaustive optimum, and to 0.97 of it on average", (t) => {
  const random = new utils.RandomSource(11);
  const ratios: number[] = [];
  for (let round = 0; round < 12; round++) {
    const engines = Array.from({ length: 4 }, (_value, index) =>
      createEngine(`g${index}`, 50 + random.nextInteger(200), 3 + random.nextInteger(4)),
    );
    const optimum = findOptimum(engines, 6);
    const planned = getThroughput(engines, planPlacement(engines, 6), 6);
    t.true(planned <= getHardwareBound(engines, 6) + 1e-9);
    if (optimum > 0) ratios.push(planned / optimum);
  }
  t.true(utils.getSum(ratios) / ratios.length >= 0.97, ratios.map((ratio) => ratio.toFixed(3)).join(" "));
  t.true(Math.min(...ratios) >= 0.9, ratios.map((ratio) => ratio.toFixed(3)).join(" "));
});

test("no engine gets more layers than fit in its memory, and each zone with enough memory gets the whole model", (t) => {
  const engines = ["x", "y"].flatMap((zone) => [
    createEngine(`${zone}1`, 100, 20, zone),
    createEngine(`${zone}2`, 100, 14, zone),
    createEngine(`${zone}3`, 300, 12, zone),
  ]);
  const placement = planPlacement(engines, 32);
  for (const engine of engines) {
    const range = placement.get(engine.name);
    if (range !== undefined) t.true(range[1] - range[0] <= engine.memoryLayers);
  }
  for (const zone of ["x", "y"]) {
    const own = engines.filter((engine) => engine.availabilityZone === zone);
    t.true(getThroughput(own, placement, 32) > 0);
  }
});

test("engines without enough memory for the model get no placement", (t) => {
  t.is(planPlacement([createEngine("a", 100, 10), createEngine("b", 100, 10)], 32).size, 0);
});
