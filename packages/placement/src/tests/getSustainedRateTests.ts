/** The rate of requests that the engines of a zone sustain. */
import test from "ava";
import { getSustainedRate, type RatedSpan } from "../getSustainedRate.js";
import type { CopyModel } from "../planLayerCopies.js";

/** Requests take 100 MB in each layer, and 1 s without others. */
const model: CopyModel = {
  layerCount: 4,
  layerMb: 100,
  kvMbPerTokenLayer: 1,
  tokensPerRequest: 100,
  answerTokens: 100,
  stepMs: 10,
  stepMsPerRequest: 0,
  hopMs: 0,
};

function createSpan(start: number, end: number, memoryMb: number, stepFactor = 1): RatedSpan {
  return {
    engine: { name: "e", memoryMb, stepFactor },
    start,
    end,
    unqueuedRequests: Number.POSITIVE_INFINITY,
  };
}

test("the layer with the least room limits the rate", (t) => {
  t.is(getSustainedRate([createSpan(0, 4, 1_200)], model), 2);
  t.is(getSustainedRate([createSpan(0, 2, 600), createSpan(2, 4, 2_000)], model), 2);
});

test("a second copy adds its rate, and a slower one less", (t) => {
  const copy = createSpan(0, 4, 1_200);
  t.is(getSustainedRate([copy, copy], model), 4);
  const both = getSustainedRate([copy, createSpan(0, 4, 1_200, 3)], model);
  t.true(both > 0 && both < 4, `${both}`);
});

test("engines take no more requests than their prompts allow without queues", (t) => {
  t.is(getSustainedRate([{ ...createSpan(0, 4, 1_200), unqueuedRequests: 1 }], model), 1);
});

test("longer chains take longer", (t) => {
  const spans = [createSpan(0, 2, 600), createSpan(2, 4, 600)];
  t.is(getSustainedRate(spans, { ...model, hopMs: 5 }), 1);
});

test("a zone without one of the layers sustains nothing", (t) => {
  t.is(getSustainedRate([createSpan(0, 3, 1_200)], model), 0);
  t.is(getSustainedRate([], model), 0);
});
