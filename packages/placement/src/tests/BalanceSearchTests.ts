/** A balance fills gaps, keeps what is whole whole, and gives the scarcest layer as much room as its steps find. */
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
/** A zone that lost any engine has room for this many usual requests at least. */
const leastRequests = 25;

function hold(fleet: readonly CopyEngine[]): BalancedSpan[] {
  const planned = planLayerCopies(fleet, model);
  return fleet.map((engine) => {
    const span = planned.find((item) => item.name === engine.name);
    return { engine, start: span?.start ?? 0, end: span?.end ?? 0 };
  });
}

/** Tokens that fit at the scarcest layer. */
function getScarcestTokens(spans: readonly BalancedSpan[]): number {
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
  test(`a zone of ${counts.join(", ")} engines is whole without any one of them, with room for requests`, (t) => {
    const balanced = planBalance(hold(createFleet(kinds, counts)), model);
    for (const [index, lost] of balanced.entries()) {
      const held = balanced.filter((_, at) => at !== index);
      const moved = planBalance(held, model);
      const anew = planBalance(hold(held.map(({ engine }) => engine)), model);
      const tokens = Math.max(getScarcestTokens(moved), getScarcestTokens(anew));
      t.true(tokens > leastRequests * model.tokensPerRequest, lost.engine.name);
    }
  });
}

test("an empty engine takes the gap that a lost one left", (t) => {
  const held = hold(createFleet(kinds, [2, 2, 5]));
  const [first, ...others] = held;
  if (first === undefined) return t.fail();
  const empty = { engine: { ...first.engine, name: "returned" }, start: 0, end: 0 };
  const returned = planBalance([...others, empty], model).at(-1);
  t.true(returned !== undefined && returned.start <= first.start && returned.end >= first.end - 4);
});

test("an engine that is empty in a zone that is whole takes work as well", (t) => {
  const held = hold(createFleet(kinds, [1, 6, 6]));
  const empty = { engine: { name: "new", memoryMb: 72_000, stepFactor: 2.4 }, start: 0, end: 0 };
  const after = planBalance([...held, empty], model);
  t.true((after.at(-1)?.end ?? 0) > 0);
  t.true(getScarcestTokens(after) >= leastRequests * model.tokensPerRequest);
});

test("any zone that lost engines ends at no higher cost, each engine within its memory", (t) => {
  const lost = fc.uniqueArray(fc.nat({ max: 12 }), { maxLength: 4 });
  const counts = fc.tuple(fc.integer({ min: 1, max: 3 }), fc.nat({ max: 6 }), fc.nat({ max: 6 }));
  const property = fc.property(counts, lost, (fleetCounts, lostIndexes) => {
    const held = hold(createFleet(kinds, fleetCounts)).filter((_, index) => !lostIndexes.includes(index));
    const balanced = planBalance(held, model);
    const cost = (spans: readonly BalancedSpan[]): number => new ZoneArrangement(spans, model).getCost();
    const fits = balanced.every(
      ({ engine, start, end }) =>
        start >= 0 && end <= model.layerCount && (end - start) * model.layerMb <= engine.memoryMb,
    );
    const keepsNames = balanced.every((span, index) => span.engine === held[index]?.engine);
    return fits && keepsNames && cost(balanced) <= cost(held) + 1e-6;
  });
  t.notThrows(() => fc.assert(property, { seed: 5, numRuns: 40 }));
});

test("the neighbours of any lost engine grow over its layers and give none up", (t) => {
  for (const counts of [
    [2, 4, 4],
    [1, 6, 6],
    [1, 10, 4],
  ]) {
    const whole = hold(createFleet(kinds, counts));
    for (const lost of whole) {
      // The largest hold so much that their neighbours have no room for it.
      if (lost.engine.memoryMb > 50_000) continue;
      const held = whole.filter((span) => span !== lost);
      const grown = planBalance(held, model, { isGrowthOnly: true });
      t.true(getScarcestTokens(grown) > model.tokensPerRequest, lost.engine.name);
      const isOnlyMore = held.every((span, index) => {
        const now = grown[index];
        return now !== undefined && now.start <= span.start && span.end <= now.end;
      });
      t.true(isOnlyMore, lost.engine.name);
    }
  }
});

test("what is held while an engine changes over leaves the room that is asked for", (t) => {
  const held = hold(createFleet(kinds, [1, 6, 6]));
  const empty = { engine: { name: "new", memoryMb: 72_000, stepFactor: 2.4 }, start: 0, end: 0 };
  const leastTokensBeside = 100_000;
  const after = planBalance([...held, empty], model, { minKvTokens: leastTokensBeside });
  for (const [index, { engine, start, end }] of held.entries()) {
    const now = after[index] ?? { start, end };
    const layers = Math.max(end, now.end) - Math.min(start, now.start);
    const isGrowing = now.start < start || now.end > end;
    t.true(!isGrowing || getKvTokenCapacity(engine, layers, model) >= leastTokensBeside);
  }
});
