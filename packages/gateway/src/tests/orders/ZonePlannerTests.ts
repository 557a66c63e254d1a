/** Tests when a zone gets orders: at once for gaps and empty engines, and for a better balance only once its engines are stable. */
import * as placement from "@shedtiller/placement";
import test from "ava";
import { toCopyModel } from "../../chains/engineModel.js";
import type { ZoneEngine } from "../../orders/planZoneOrders.js";
import { ZonePlanner } from "../../orders/ZonePlanner.js";
import { unevenZones, type UnevenZone } from "../patterns/unevenFleet.js";
import * as zoneTestData from "./zoneTestData.js";

function createMember(name: string, start: number, end: number, memoryMb = 200): ZoneEngine {
  return zoneTestData.createMember(name, { start, end }, memoryMb);
}

function setUp() {
  const clock = { nowMs: 10_000 };
  const planner = new ZonePlanner(() => clock.nowMs);
  const plan = async (members: readonly ZoneEngine[]): Promise<string> =>
    zoneTestData.describeOrders(await planner.plan(members, zoneTestData.smallModel));
  return { clock, plan };
}

test("a zone whose engines are all empty gets complete copies", async (t) => {
  const { plan } = setUp();
  const ordered = await plan([createMember("a", 0, 0), createMember("b", 0, 0)]);
  t.is(ordered.split(",").length, 2);
});

test("a gap is closed at once by the neighbours, with no more loads than necessary", async (t) => {
  const { plan } = setUp();
  const members = [createMember("a", 0, 2), createMember("c", 4, 6), createMember("d", 6, 8)];
  t.is(await plan(members), "a=0-3,c=3-6");
});

test("a zone with a gap that no engine can extend over is rearranged if the lost engine does not return", async (t) => {
  const { clock, plan } = setUp();
  // Neither engine has capacity for more layers beside its own, but the second one could load all layers.
  const members = [createMember("a", 0, 4, 42), { ...createMember("b", 0, 4, 120), passingRequests: 9 }];
  t.is(await plan(members), "");
  clock.nowMs += 3_900;
  t.is(await plan(members), "");
  clock.nowMs += 200;
  t.regex(await plan(members), /[ab]=\d-\d/);
});

test("an empty engine gets layers at once, and the other engines keep theirs", async (t) => {
  const { plan } = setUp();
  const members = [createMember("a", 0, 4, 100), createMember("b", 4, 8, 100), createMember("c", 0, 0)];
  t.regex(await plan(members), /^c=\d-\d$/);
});

test("a complete zone is rebalanced only once it is stable, and for a large gain", async (t) => {
  const { clock, plan } = setUp();
  const uneven = [createMember("a", 0, 5), createMember("b", 5, 8)];
  t.is(await plan(uneven), "");
  clock.nowMs += 3_000;
  t.is(await plan(uneven), "b=4-8");
  const even = [createMember("a", 0, 4), createMember("b", 4, 8)];
  t.is(await plan(even), "");
  clock.nowMs += 3_000;
  t.is(await plan(even), "");
});

test("a zone with little capacity after a repair is rebalanced without waiting for stability", async (t) => {
  const { plan } = setUp();
  t.regex(await plan([createMember("a", 0, 7), createMember("b", 7, 8)]), /^b=\d-8$/);
});

test("if neighbours can't extend their spans, the gap is closed by an engine whose layers other engines have loaded, too", async (t) => {
  const { plan } = setUp();
  const members = [createMember("a", 0, 3, 45), createMember("b", 5, 8, 45), createMember("c", 5, 8, 60)];
  t.regex(await plan(members), /^c=3-\d$/);
});

test("a gap is closed with as few loads as possible, although a large fast engine could load more layers", async (t) => {
  const { plan } = setUp();
  const slow = createMember("c", 5, 8, 70);
  const members = [
    createMember("a", 0, 3, 45),
    createMember("b", 5, 8, 45),
    { ...slow, engine: { ...slow.engine, stepFactor: 7 } },
    createMember("d", 5, 8, 200),
  ];
  t.regex(await plan(members), /^[cd]=3-[58]$/, "two new layers, not up to five");
});

test("an engine that requests pass through does not drop its layers for a gap, although others have loaded them, too", async (t) => {
  const { plan } = setUp();
  const used = { ...createMember("a", 0, 3, 150), passingRequests: 9 };
  const orders = await plan([used, createMember("b", 0, 3, 150), createMember("c", 5, 8, 150)]);
  t.regex(orders, /^b=[03]-5$/);
});

test("an empty engine closes a gap instead of an engine that has to drop layers first", async (t) => {
  const { plan } = setUp();
  const waiting = { ...createMember("b", 0, 4), ordered: { start: 4, end: 8 }, isFree: false };
  const members = [createMember("a", 0, 4), waiting, createMember("c", 0, 0)];
  t.regex(await plan(members), /^c=[0-4]-8$/);
  const growing = { ...createMember("b", 4, 6), ordered: { start: 4, end: 8 }, isFree: false };
  t.is(await plan([createMember("a", 0, 4), growing, createMember("c", 0, 0)]), "");
});

// Guards against a broken zone that waits for stability although no request passes through the engine that can close its gap any more.
test("a gap is closed as soon as the requests through the engine that can close it have ended", async (t) => {
  const { plan } = setUp();
  const members = (passingRequests: number): ZoneEngine[] => [
    createMember("a", 0, 3, 45),
    { ...createMember("b", 5, 8, 45), passingRequests: 9 },
    { ...createMember("c", 5, 8, 60), passingRequests },
  ];
  t.is(await plan(members(9)), "");
  t.regex(await plan(members(0)), /^c=3-\d$/);
});

/** Returns the engines of a zone with the layers of a search that does not weigh first engines. */
function createServingZone({ profile, engines }: UnevenZone, model: placement.CopyModel): ZoneEngine[] {
  const fleet = profile.kinds.flatMap(({ name, memoryMb, stepFactor }) =>
    Array.from({ length: engines[name] ?? 0 }, (_, index) => ({
      name: `${name}-${index}`,
      memoryMb,
      stepFactor,
    })),
  );
  const first = new Map(placement.planLayerCopies(fleet, model).map((span) => [span.name, span]));
  const burstRequests = placement.getBurstRequests(fleet, model);
  const spans = placement.planBalance(
    fleet.map((engine) => ({ engine, start: 0, end: 0, ...first.get(engine.name) })),
    { ...model, burstRequests },
  );
  return spans.map(({ engine, start, end }) => ({
    ...createMember(engine.name, start, end, engine.memoryMb),
    engine,
  }));
}

for (const zone of unevenZones) {
  test(`a serving zone with ${zone.name} is not rearranged for the sake of its first engines`, async (t) => {
    const model = toCopyModel(zone.profile);
    const members = createServingZone(zone, model);
    let nowMs = 0;
    const planner = new ZonePlanner(() => nowMs);
    const weighted = { ...model, firstEngineWeight: placement.usualFirstEngineWeight };
    t.deepEqual(await planner.plan(members, weighted), []);
    nowMs += 10_000;
    t.deepEqual(await planner.plan(members, weighted), []);
  });
}
