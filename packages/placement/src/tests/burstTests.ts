/** Headroom for bursts is reserved only if requests have a choice between copies of the model. */
import test from "ava";
import { getBurstRequests, getTokensBeyondBurst } from "../burst.js";
import type { CopyEngine, CopyModel } from "../planLayerCopies.js";

/** 80 layers of 1,750 MB; a usual request has 950 tokens. */
const model: CopyModel = {
  layerCount: 80,
  layerMb: 1_750,
  kvMbPerTokenLayer: 0.0135,
  tokensPerRequest: 950,
  answerTokens: 210,
  stepMs: 1.02,
  stepMsPerRequest: 0.019,
  hopMs: 0.25,
};

function createEngines(
  counts: readonly (readonly [count: number, memoryMb: number, stepFactor: number])[],
): CopyEngine[] {
  return counts.flatMap(([count, memoryMb, stepFactor]) =>
    Array.from({ length: count }, (_value, index) => ({
      name: `${memoryMb}-${index}`,
      memoryMb,
      stepFactor,
    })),
  );
}

test("a zone with memory for many copies reserves headroom for the requests that it starts within 0.4 s", (t) => {
  const engines = createEngines([
    [2, 72_000, 2.4],
    [18, 43_200, 5.6],
    [15, 21_600, 16],
  ]);
  const burst = getBurstRequests(engines, model);
  t.true(burst > 30 && burst < 50, `${burst}`);
});

test("a zone for which one copy is best reserves no headroom", (t) => {
  const engines = createEngines([
    [1, 72_000, 2.4],
    [6, 14_400, 5.3],
    [6, 21_600, 16],
  ]);
  t.is(getBurstRequests(engines, model), 0);
  t.is(getBurstRequests([], model), 0);
});

test("an engine without tokens beyond a burst still counts with a share of its tokens", (t) => {
  t.is(getTokensBeyondBurst(95_000, { ...model, burstRequests: 40 }), 57_000);
  t.is(getTokensBeyondBurst(9_500, { ...model, burstRequests: 40 }), 2_850);
  t.is(getTokensBeyondBurst(9_500, model), 9_500);
});
