/** Choice of chains, which run every layer once and in order within the capacity of their engines. */
import test from "ava";
import * as fc from "fast-check";
import { ChainChooser } from "../../chains/ChainChooser.js";
import type { ChainDemand } from "../../chains/findCheapestChain.js";
import { getCapacityTokenLayers } from "../../chains/engineModel.js";
import type { ChainStage } from "../../http/MessageCodec.js";
import { createEngine, profile } from "../testData.js";

const demand: ChainDemand = { promptTokens: 8, answerTokens: 2, availabilityZone: "east" };
const chooser = new ChainChooser(() => 1_000);

function describe(chain: readonly ChainStage[] | undefined): string | undefined {
  return chain?.map((stage) => `${stage.endpointId}=${stage.start}-${stage.end}`).join(",");
}

test("the faster of two chains is chosen", (t) => {
  const engines = [
    createEngine("a", 0, 4, { kind: "slow" }),
    createEngine("b", 0, 2),
    createEngine("c", 2, 4),
  ];
  t.is(describe(chooser.choose(engines, profile, demand)), "b=0-2,c=2-4");
});

test("a stage may use a part of an engine's layers only", (t) => {
  const engines = [createEngine("a", 0, 2), createEngine("b", 1, 4, { kind: "slow" })];
  t.is(describe(chooser.choose(engines, profile, demand)), "a=0-2,b=2-4");
});

test("there is no chain if a layer is missing", (t) => {
  t.is(chooser.choose([createEngine("a", 0, 2), createEngine("b", 3, 4)], profile, demand), undefined);
});

test("an engine without free capacity is not used", (t) => {
  const full = createEngine("a", 0, 4);
  full.addOwnLoad(1, getCapacityTokenLayers(full, profile));
  const other = createEngine("b", 0, 4, { kind: "slow" });
  t.is(describe(chooser.choose([full, other], profile, demand)), "b=0-4");
  t.is(chooser.choose([full], profile, demand), undefined);
});

test("the load that peers report counts like the instance's own", (t) => {
  const full = createEngine("a", 0, 4);
  full.setPeerLoad("peer", {
    requests: 9,
    tokenLayers: getCapacityTokenLayers(full, profile),
    promptTokens: 0,
  });
  t.is(chooser.choose([full], profile, demand), undefined);
  full.retainPeerLoads(new Set());
  t.is(describe(chooser.choose([full], profile, demand)), "a=0-4");
});

test("a suspect engine and a temporarily avoided engine get no new requests", (t) => {
  const suspect = createEngine("a", 0, 4);
  suspect.suspectUntilMs = 2_000;
  const avoided = createEngine("b", 0, 4);
  avoided.avoidedUntilMs = 1_100;
  t.is(chooser.choose([suspect, avoided], profile, demand), undefined);
});

test("a chain in the instance's own zone is preferred to a faster chain in another zone", (t) => {
  const engines = [
    createEngine("a", 0, 4, { availabilityZone: "west" }),
    createEngine("b", 0, 2, { kind: "slow" }),
    createEngine("c", 2, 4, { kind: "slow" }),
  ];
  t.is(describe(chooser.choose(engines, profile, demand)), "b=0-2,c=2-4");
});

test("a chain that is entirely in another zone is preferred to a cross-zone chain", (t) => {
  const engines = [
    createEngine("a", 0, 2),
    createEngine("b", 2, 4, { availabilityZone: "west" }),
    createEngine("c", 0, 4, { availabilityZone: "west", kind: "slow" }),
  ];
  t.is(describe(chooser.choose(engines, profile, demand)), "c=0-2,b=2-4");
  t.is(describe(chooser.choose(engines.slice(0, 2), profile, demand)), "a=0-2,b=2-4");
});

test("a cross-zone chain leaves half of the capacity to a zone that can run all layers by itself", (t) => {
  const start = createEngine("a", 0, 2);
  const end = createEngine("b", 2, 4, { availabilityZone: "west" });
  const full = createEngine("c", 0, 2, { availabilityZone: "west" });
  full.addOwnLoad(1, getCapacityTokenLayers(full, profile));
  t.is(describe(chooser.choose([start, end, full], profile, demand)), "a=0-2,b=2-4");
  end.addOwnLoad(1, getCapacityTokenLayers(end, profile) / 2);
  t.is(chooser.choose([start, end, full], profile, demand), undefined);
  t.is(describe(chooser.choose([start, end], profile, demand)), "a=0-2,b=2-4", "west cannot run all layers");
});

test("an engine without free slots cannot be the first of a chain, but can be a later one", (t) => {
  const busy = createEngine("a", 0, 4);
  const other = createEngine("b", 0, 2, { kind: "slow" });
  busy.addOwnLoad(busy.listed.slots - 1, 0);
  t.is(describe(chooser.choose([busy, other], profile, demand)), "a=0-4");
  busy.addOwnLoad(1, 0);
  t.is(describe(chooser.choose([busy, other], profile, demand)), "b=0-2,a=2-4");
  t.is(chooser.choose([busy], profile, demand), undefined);
  const moved = chooser.choose([busy, other], profile, { ...demand, firstEndpointId: "a", firstEnd: 4 });
  t.is(describe(moved), "a=0-4", "a moved request already has its slot");
});

test("a moved request keeps its first engine and the layers there", (t) => {
  const engines = [createEngine("a", 0, 3), createEngine("b", 2, 4), createEngine("c", 0, 4)];
  const moved = chooser.choose(engines, profile, { ...demand, firstEndpointId: "a", firstEnd: 2 });
  t.is(describe(moved), "a=0-2,b=2-4");
});

test("streams that are moved at the same time are distributed over engines of similar cost", (t) => {
  const engines = [
    createEngine("a", 0, 2),
    createEngine("b", 2, 4),
    createEngine("c", 2, 4, { availabilityZone: "east" }),
  ];
  const numbers = [0.5, 0.9, 0.1, 0.5, 0.1, 0.9];
  const randomized = new ChainChooser(
    () => 1_000,
    () => numbers.shift() ?? 0.5,
  );
  const moved = { ...demand, firstEndpointId: "a", firstEnd: 2, isRandomized: true };
  t.is(describe(randomized.choose(engines, profile, moved)), "a=0-2,c=2-4");
  t.is(describe(randomized.choose(engines, profile, moved)), "a=0-2,b=2-4");
});

test("any chain runs each layer once, in order, at engines that have loaded it, and uses no engine twice", (t) => {
  const span = fc.tuple(fc.nat({ max: 3 }), fc.integer({ min: 1, max: 4 })).map(([start, size]) => ({
    start,
    end: Math.min(4, start + size),
  }));
  const fleets = fc.array(fc.record({ span, isSlow: fc.boolean(), isWest: fc.boolean() }), { maxLength: 9 });
  const property = fc.property(fleets, (fleet) => {
    const engines = fleet.map((item, index) =>
      createEngine(`e${index}`, item.span.start, item.span.end, {
        kind: item.isSlow ? "slow" : "fast",
        availabilityZone: item.isWest ? "west" : "east",
      }),
    );
    const chain = chooser.choose(engines, profile, demand);
    if (chain === undefined) return true;
    const ends = chain.map((stage) => stage.end);
    const starts = chain.map((stage) => stage.start);
    const isInOrder = starts[0] === 0 && ends.at(-1) === 4 && starts.slice(1).every((s, i) => s === ends[i]);
    const isLoaded = chain.every((stage) => {
      const loaded = engines.find((engine) => engine.id === stage.endpointId)?.listed.layers[0];
      return loaded !== undefined && loaded.start <= stage.start && stage.end <= loaded.end;
    });
    return isInOrder && isLoaded && new Set(chain.map((stage) => stage.endpointId)).size === chain.length;
  });
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 500 }));
});

test("an engine that rejected a request as full gets no load above that level until a timeout", (t) => {
  const clock = { nowMs: 1_000 };
  const timedChooser = new ChainChooser(() => clock.nowMs);
  const engine = createEngine("a", 0, 4);
  const choose = (): string | undefined => describe(timedChooser.choose([engine], profile, demand));
  engine.addOwnLoad(2, 80);
  t.is(choose(), "a=0-4");
  t.true(engine.noteFull(clock.nowMs));
  t.false(engine.noteFull(clock.nowMs), "already known at this load");
  t.is(choose(), undefined);
  engine.addOwnLoad(-1, -40);
  t.is(choose(), "a=0-4", "the released load is available again");
  engine.addOwnLoad(1, 40);
  t.is(choose(), undefined);
  clock.nowMs += 1_999;
  t.is(choose(), undefined);
  clock.nowMs += 1;
  t.is(choose(), "a=0-4");
});

test("an engine that rejected this request is chosen for it again only if there is no other chain", (t) => {
  const chooser = new ChainChooser(() => 0);
  const engines = [createEngine("near", 0, 4), createEngine("other", 0, 4, { kind: "slow" })];
  const demand = { promptTokens: 2, answerTokens: 2, availabilityZone: "east" };
  const choose = (refusedBy?: ReadonlySet<string>) =>
    chooser.choose(engines, profile, { ...demand, refusedBy })?.map((stage) => stage.endpointId);
  t.deepEqual(choose(), ["near"]);
  t.deepEqual(choose(new Set(["near:1"])), ["other"]);
  t.deepEqual(choose(new Set(["near:1", "other:1"])), ["near"], "there is no other chain");
});

// Guards against zones that lose their last engine with the first layers to a request that has crashed others.
test("a request that may have crashed an engine begins where another engine of the zone has the first layers, too", (t) => {
  const sole = createEngine("a", 0, 4);
  const redundant = ["b", "c"].map((id) =>
    createEngine(id, 0, 4, { availabilityZone: "west", kind: "slow" }),
  );
  const choose = (
    engines: typeof redundant,
    redundantFirstEngine: "preferred" | "required" | undefined,
  ): string | undefined => describe(chooser.choose(engines, profile, { ...demand, redundantFirstEngine }));
  t.is(choose([sole, ...redundant], undefined), "a=0-4");
  t.is(choose([sole, ...redundant], "required"), "b=0-4");
  t.is(choose([sole, ...redundant], "preferred"), "b=0-4");
  t.is(choose([sole, ...redundant.slice(1)], "preferred"), "a=0-4");
  t.is(choose([sole, ...redundant.slice(1)], "required"), undefined);
  redundant[0]?.circuitBreaker.noteFailed(990, 995);
  t.is(choose(redundant, "required"), undefined, "the other engine has just failed and may have crashed");
});
