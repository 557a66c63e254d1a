/** Detours of chains around lost engines. */
import test from "ava";
import { utils } from "@shedtiller/common";
import type { ChainCandidate } from "../../../chains/findCheapestChain.js";
import type { ChainStage } from "../../../http/MessageCodec.js";
import { findDetour } from "../../../requests/moves/findDetour.js";
import { createEngine } from "../../testData.js";

const demand = { promptTokens: 100, answerTokens: 10, availabilityZone: "east" };
const stages = [toStage("a", 0, 4), toStage("b", 4, 8), toStage("c", 8, 12), toStage("d", 12, 16)];

function toStage(endpointId: string, start: number, end: number): ChainStage {
  return { endpointId, address: `${endpointId}:1`, start, end };
}

function toCandidate(id: string, start: number, end: number, msPerLayer = 1): ChainCandidate {
  const endpoint = createEngine(id, start, end);
  return {
    endpoint,
    start,
    end,
    msPerLayer,
    queueMs: 0,
    freeLayers: 99,
    freeLayersCrossZone: 99,
    canBeFirst: false,
  };
}

function find(lost: readonly string[], candidates: readonly ChainCandidate[]): string[] | undefined {
  const isLost = (stage: ChainStage): boolean => lost.includes(stage.endpointId);
  const free = candidates.map((candidate) => ({ ...candidate, canBeFirst: true }));
  const detour = findDetour({ stages, isLost, candidates: free, demand });
  return detour?.map(({ endpointId, start, end }) => `${endpointId} ${start}-${end}`);
}

test("only the layers of the lost engine change hands, and the cheapest engine takes them", (t) => {
  const candidates = [toCandidate("x", 4, 8, 3), toCandidate("y", 4, 8, 2)];
  t.deepEqual(find(["b"], candidates), ["a 0-4", "y 4-8", "c 8-12", "d 12-16"]);
});

test("engines with other boundaries take over parts", (t) => {
  const candidates = [toCandidate("x", 2, 6), toCandidate("y", 5, 11, 2)];
  t.deepEqual(find(["b"], candidates), ["a 0-4", "x 4-6", "y 6-8", "c 8-12", "d 12-16"]);
});

test("neighbours that are lost together are one gap, and others are gaps of their own", (t) => {
  const candidates = [toCandidate("x", 4, 12), toCandidate("y", 12, 16)];
  t.deepEqual(find(["b", "c"], candidates), ["a 0-4", "x 4-12", "d 12-16"]);
  t.deepEqual(find(["b", "d"], candidates), ["a 0-4", "x 4-8", "c 8-12", "y 12-16"]);
});

test("an engine is in a chain once", (t) => {
  t.is(find(["b", "d"], [toCandidate("x", 4, 16)]), undefined);
  t.is(find(["b"], [toCandidate("c", 4, 12)]), undefined);
});

test("without an engine for each lost layer, or without room there, there is no detour", (t) => {
  t.is(find(["b"], [toCandidate("x", 4, 7)]), undefined);
  t.is(find(["b"], [{ ...toCandidate("x", 4, 8), freeLayers: 3 }]), undefined);
});

test("a detour runs every layer once and in order, at engines that have loaded it, and keeps the first stage", (t) => {
  const random = new utils.RandomSource(11);
  let found = 0;
  for (let fleet = 0; fleet < 300; fleet++) {
    const candidates = Array.from({ length: 12 }, (_, index) => {
      const start = random.nextInteger(14);
      return { ...toCandidate(`x${index}`, start, start + 2 + random.nextInteger(6)), canBeFirst: true };
    });
    const lost = ["b", "c", "d"].filter(() => random.nextUnit() < 0.5);
    const isLost = (stage: ChainStage): boolean => lost.includes(stage.endpointId);
    const detour = findDetour({ stages, isLost, candidates, demand });
    if (detour === undefined) continue;
    found += 1;
    t.deepEqual(detour[0], stages[0]);
    t.is(detour.at(-1)?.end, 16);
    detour.slice(1).forEach((stage, index) => t.true(stage.start === detour[index]?.end));
    t.is(new Set(detour.map((stage) => stage.endpointId)).size, detour.length);
    for (const { endpointId, start, end } of detour) {
      const candidate = candidates.find(({ endpoint }) => endpoint.id === endpointId);
      if (candidate !== undefined) t.true(candidate.start <= start && end <= candidate.end);
      else t.false(lost.includes(endpointId));
    }
  }
  t.true(found > 100, `${found} detours`);
});
