/** A balance fills gaps, never increases the cost, and leaves KV cache for enough requests on the layer with the fewest tokens. */
import test from "ava";
import * as fc from "fast-check";
import { ZoneArrangement, type BalancedSpan } from "../ZoneArrangement.js";
import { planBalance } from "../BalanceSearch.js";
import { getKvTokenCapacity, planLayerCopies, type CopyEngine, type CopyModel } from "../planLayerCopies.js";
import { createFleet } from "./createFleet.js";

const model: CopyModel = {
  layerCount: 80,
  layerMb: 1_750,
  kvMbPerTokenLayer: 0.0106,
  tokensPerRequest: 1_000,
  answerTokens: 220,
  stepMs: 1,
  stepMsPerRequest: 0.015,
  hopMs: 0.25,
};
const kinds = [
  { memoryMb: 72_000, stepFactor: 2.4 },
  { memoryMb: 14_400, stepFactor: 5.3 },
  { memoryMb: 21_600, stepFactor: 16 },
];
/** Minimum number of usual requests that a zone can serve after the loss of any one engine. */
const minRequests = 25;

function planSpans(fleet: readonly CopyEngine[]): BalancedSpan[] {
  const planned = planLayerCopies(fleet, model);
  return fleet.map((engine) => {
    const span = planned.find((item) => item.name === engine.name);
    return { engine, start: span?.start ?? 0, end: span?.end ?? 0 };
  });
}

/** Returns the tokens of the layer with the fewest. */
function getMinTokens(spans: readonly BalancedSpan[]): number {
  const tokens = Array.from({ length: model.layerCount }, (_, layer) =>
    spans
      .filter((span) => span.start <= layer && layer < span.end)
      .map((span) => getKvTokenCapacity(span.engine, span.end - span.start, model))
      .reduce((sum, value) => sum + value, 0),
  );
  return Math.min(...tokens);
}

for (const counts of [
  [2, 4, 4],
  [1, 6, 6],
  [1, 10, 4],
]) {
  test(`a zone of ${counts.join(", ")} engines can serve requests after the loss of any one of them`, (t) => {
    const balanced = planBalance(planSpans(createFleet(kinds, counts)), model);
    for (const [index, lost] of balanced.entries()) {
      const remaining = balanced.filter((_, at) => at !== index);
      const rebalanced = planBalance(remaining, model);
      const replanned = planBalance(planSpans(remaining.map(({ engine }) => engine)), model);
      const tokens = Math.max(getMinTokens(rebalanced), getMinTokens(replanned));
      t.true(tokens > minRequests * model.tokensPerRequest, lost.engine.name);
    }
  });
}

test("an empty engine gets the layers of a lost one", (t) => {
  const spans = planSpans(createFleet(kinds, [2, 2, 5]));
  const [first, ...others] = spans;
  if (first === undefined) return t.fail();
  const empty = { engine: { ...first.engine, name: "returned" }, start: 0, end: 0 };
  const returned = planBalance([...others, empty], model).at(-1);
  t.true(returned !== undefined && returned.start <= first.start && returned.end >= first.end - 4);
});

test("an empty engine gets layers also in a zone without gaps", (t) => {
  const before = planSpans(createFleet(kinds, [1, 6, 6]));
  const empty = { engine: { name: "new", memoryMb: 72_000, stepFactor: 2.4 }, start: 0, end: 0 };
  const after = planBalance([...before, empty], model);
  t.true((after.at(-1)?.end ?? 0) > 0);
  t.true(getMinTokens(after) >= minRequests * model.tokensPerRequest);
});

test("after any losses the balance has no higher cost, and each engine stays within its memory", (t) => {
  const lost = fc.uniqueArray(fc.nat({ max: 12 }), { maxLength: 4 });
  const counts = fc.tuple(fc.integer({ min: 1, max: 3 }), fc.nat({ max: 6 }), fc.nat({ max: 6 }));
  const property = fc.property(counts, lost, (fleetCounts, lostIndexes) => {
    const remaining = planSpans(createFleet(kinds, fleetCounts)).filter(
      (_, index) => !lostIndexes.includes(index),
    );
    const balanced = planBalance(remaining, model);
    const cost = (spans: readonly BalancedSpan[]): number => new ZoneArrangement(spans, model).getCost();
    const fits = balanced.every(
      ({ engine, start, end }) =>
        start >= 0 && end <= model.layerCount && (end - start) * model.layerMb <= engine.memoryMb,
    );
    const hasSameEngines = balanced.every((span, index) => span.engine === remaining[index]?.engine);
    return fits && hasSameEngines && cost(balanced) <= cost(remaining) + 1e-6;
  });
  t.notThrows(() => fc.assert(property, { seed: 5, numRuns: 40 }));
});

test("the neighbours of any lost engine add its layers and remove none", (t) => {
  for (const counts of [
    [2, 4, 4],
    [1, 6, 6],
    [1, 10, 4],
  ]) {
    const spans = planSpans(createFleet(kinds, counts));
    for (const lost of spans) {
      // The largest engines have so many layers that they don't fit on their neighbours.
      if (lost.engine.memoryMb > 50_000) continue;
      const remaining = spans.filter((span) => span !== lost);
      const grown = planBalance(remaining, model, { isGrowthOnly: true });
      t.true(getMinTokens(grown) > model.tokensPerRequest, lost.engine.name);
      const hasOnlyGrown = remaining.every((span, index) => {
        const now = grown[index];
        return now !== undefined && now.start <= span.start && span.end <= now.end;
      });
      t.true(hasOnlyGrown, lost.engine.name);
    }
  }
});

test("the current and new layers of a growing engine together leave the required tokens", (t) => {
  const before = planSpans(createFleet(kinds, [1, 6, 6]));
  const empty = { engine: { name: "new", memoryMb: 72_000, stepFactor: 2.4 }, start: 0, end: 0 };
  const minKvTokens = 100_000;
  const after = planBalance([...before, empty], model, { minKvTokens });
  for (const [index, { engine, start, end }] of before.entries()) {
    const now = after[index] ?? { start, end };
    const layers = Math.max(end, now.end) - Math.min(start, now.start);
    const isGrowing = now.start < start || now.end > end;
    t.true(!isGrowing || getKvTokenCapacity(engine, layers, model) >= minKvTokens);
  }
});
