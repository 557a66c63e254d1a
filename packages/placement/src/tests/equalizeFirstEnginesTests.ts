/** First engines that are about equally fast, so that no single loss cuts most of the streams of a zone. */
import test from "ava";
import { equalizeFirstEngines, getFirstConcentration } from "../equalizeFirstEngines.js";
import { getKvTokenCapacity, planLayerCopies, type CopyEngine, type CopyModel } from "../planLayerCopies.js";
import { planBalance } from "../BalanceSearch.js";
import { getBurstRequests } from "../burst.js";
import type { BalancedSpan } from "../ZoneArrangement.js";
import { createFleet } from "./createFleet.js";

const model: CopyModel = {
  layerCount: 80,
  layerMb: 1_750,
  kvMbPerTokenLayer: 0.007,
  tokensPerRequest: 950,
  answerTokens: 178,
  stepMs: 0.85,
  stepMsPerRequest: 0.0083,
  hopMs: 0.25,
};
const h100 = { memoryMb: 72_000, stepFactor: 1.4 };
const a100s = { memoryMb: 36_000, stepFactor: 3.1 };
const l4 = { memoryMb: 21_600, stepFactor: 16 };
const t4 = { memoryMb: 14_400, stepFactor: 15 };

function createEngine(name: string, stepFactor: number): CopyEngine {
  return { name, memoryMb: 20_000, stepFactor };
}

function describe(chains: readonly (readonly CopyEngine[])[]): string[] {
  return chains.map((chain) => chain.map(({ name }) => name).join(" "));
}

/** Returns the balanced spans of a zone that begins empty. */
function planZone(engines: readonly CopyEngine[], firstEngineWeight?: number): readonly BalancedSpan[] {
  const weighted = { ...model, firstEngineWeight, burstRequests: getBurstRequests(engines, model) };
  const planned = new Map(planLayerCopies(engines, weighted).map((span) => [span.name, span]));
  return planBalance(
    engines.map((engine) => ({ engine, start: 0, end: 0, ...planned.get(engine.name) })),
    weighted,
  );
}

function getConcentration(spans: readonly BalancedSpan[]): number {
  const firsts = spans.filter(({ start, end }) => start === 0 && end > 0);
  return getFirstConcentration(
    new Map(firsts.map(({ engine, end }) => [engine, getKvTokenCapacity(engine, end, model)])),
  );
}

/** Returns the tokens of the layer with the fewest. */
function getMinTokens(spans: readonly BalancedSpan[]): number {
  const tokens = new Float64Array(model.layerCount);
  for (const { engine, start, end } of spans) {
    for (let layer = start; layer < end; layer++)
      tokens[layer] = (tokens[layer] ?? 0) + getKvTokenCapacity(engine, end - start, model);
  }
  return Math.min(...tokens);
}

test("an engine of the kind that all chains have comes first", (t) => {
  const fast = [createEngine("fast", 1), createEngine("slow-0", 15)];
  const slow = [createEngine("slow-1", 16), createEngine("slow-2", 15)];
  t.deepEqual(describe(equalizeFirstEngines([fast, slow])), ["slow-0 fast", "slow-2 slow-1"]);
});

test("chains stay as they are if their first engines are not much different, or if there is only one", (t) => {
  const fast = [createEngine("fast", 1), createEngine("slow", 15)];
  const medium = [createEngine("medium", 2.9), createEngine("slow", 15)];
  t.deepEqual(describe(equalizeFirstEngines([fast, medium])), ["fast slow", "medium slow"]);
  t.deepEqual(describe(equalizeFirstEngines([fast])), ["fast slow"]);
});

test("the concentration is 1/n for n engines that are not much different, and near 1 beside much slower ones", (t) => {
  const medium = [createEngine("a", 2), createEngine("b", 3), createEngine("c", 5)];
  t.true(Math.abs(getFirstConcentration(new Map(medium.map((engine) => [engine, 100]))) - 1 / 3) < 1e-9);
  const uneven = [createEngine("a", 1), createEngine("b", 16), createEngine("c", 16)];
  t.true(getFirstConcentration(new Map(uneven.map((engine) => [engine, 100]))) > 0.9);
  t.is(getFirstConcentration(new Map()), 1);
});

for (const [kinds, counts] of [
  [
    [a100s, l4, t4],
    [4, 11, 18],
  ],
  [
    [h100, a100s, l4, t4],
    [1, 2, 13, 17],
  ],
  [
    [h100, a100s, l4, t4],
    [1, 2, 20, 9],
  ],
] as const) {
  test(`a zone of ${counts.join(", ")} engines gets two or more first engines, with hardly less memory for requests`, (t) => {
    const engines = createFleet(kinds, counts);
    const usual = planZone(engines);
    const equal = planZone(engines, 0.1);
    t.true(getConcentration(equal) <= 0.51, `${getConcentration(equal)}, ${getConcentration(usual)} without`);
    t.true(getConcentration(equal) < getConcentration(usual));
    t.true(
      getMinTokens(equal) > getMinTokens(usual) * 0.93,
      `${getMinTokens(equal)}, ${getMinTokens(usual)} without`,
    );
  });
}

test("a zone with memory for one copy stays as it is", (t) => {
  const engines = createFleet([a100s, l4], [3, 6]);
  const model0 = planLayerCopies(engines, model);
  t.true(model0.length > 0);
  t.deepEqual(planLayerCopies(engines, { ...model, firstEngineWeight: 0.1 }), model0);
});
