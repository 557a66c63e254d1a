/** Plans contain complete copies only, within the memory of each engine, with KV cache for requests. */
import test from "ava";
import * as fc from "fast-check";
import { getKvTokenCapacity, planLayerCopies, type CopyModel } from "../planLayerCopies.js";
import { createFleet } from "./createFleet.js";

const model: CopyModel = {
  layerCount: 80,
  layerMb: 1_750,
  kvMbPerTokenLayer: 0.0164,
  tokensPerRequest: 974,
  answerTokens: 200,
  stepMs: 1,
  stepMsPerRequest: 0.024,
  hopMs: 0.25,
};
const kinds = [
  { memoryMb: 72_000, stepFactor: 2.4 },
  { memoryMb: 43_200, stepFactor: 5.6 },
  { memoryMb: 21_600, stepFactor: 16 },
];

function countHolders(spans: readonly { start: number; end: number }[]): number[] {
  return Array.from(
    { length: model.layerCount },
    (_, layer) => spans.filter((s) => s.start <= layer && layer < s.end).length,
  );
}

test("any fleet gets complete copies only, with each engine at most once and KV cache beside its layers", (t) => {
  const property = fc.property(
    fc.tuple(fc.nat({ max: 4 }), fc.nat({ max: 8 }), fc.nat({ max: 10 })),
    (counts) => {
      const fleet = createFleet(kinds, counts);
      const spans = planLayerCopies(fleet, model);
      const holders = new Set(countHolders(spans));
      const hasKvCache = spans.every((span) => {
        const engine = fleet.find((item) => item.name === span.name);
        return (
          engine !== undefined &&
          getKvTokenCapacity(engine, span.end - span.start, model) > model.tokensPerRequest
        );
      });
      return (
        holders.size === 1 && hasKvCache && new Set(spans.map((span) => span.name)).size === spans.length
      );
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 3, numRuns: 60 }));
});

test("a zone without memory for the model and its requests gets no layers", (t) => {
  t.deepEqual(planLayerCopies(createFleet(kinds, [1, 1, 0]), model), []);
});

test("a zone gets one copy if a second one would leave too little KV cache", (t) => {
  t.is(countHolders(planLayerCopies(createFleet(kinds, [2, 2, 5]), model))[0], 1);
  t.is(countHolders(planLayerCopies(createFleet(kinds, [1, 3, 8]), model))[0], 2);
});
