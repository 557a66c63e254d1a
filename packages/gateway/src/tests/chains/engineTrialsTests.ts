/** Requests to engines that are in doubt, since they have been silent for a moment and may still work. */
import { utils } from "@shedtiller/common";
import test from "ava";
import { ChainChooser } from "../../chains/ChainChooser.js";
import { ChainReservation } from "../../chains/ChainReservation.js";
import { getCapacityTokenLayers } from "../../chains/engineModel.js";
import type { ChainDemand } from "../../chains/findCheapestChain.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { createListed, profile } from "../testData.js";

const demand: ChainDemand = {
  promptTokens: 8,
  answerTokens: 2,
  availabilityZone: "east",
  mayProbe: true,
};
const tokens = demand.promptTokens + demand.answerTokens;

/** @param spans - The layers of each engine, by id. */
function setUp(spans: Readonly<Record<string, readonly [number, number]>>) {
  const clock = { nowMs: 10_000 };
  const endpoints = new EndpointTable(() => clock.nowMs);
  const listed = Object.entries(spans).map(([id, [start, end]]): [string, ListedEndpoint] => [
    id,
    createListed(id, { layers: [{ start, end }], address: `${id}:1` }),
  ]);
  endpoints.setAll(new Map(listed));
  const chooser = new ChainChooser(
    () => clock.nowMs,
    () => 0.5,
  );
  const get = (id: string) => {
    const endpoint = endpoints.get(id);
    if (endpoint === undefined) throw new Error(`no endpoint ${id}`);
    return endpoint;
  };
  const choose = (changes: Partial<ChainDemand> = {}) =>
    chooser.choose(endpoints.getUsable("engines"), profile, { ...demand, ...changes });
  const chooseIds = (changes?: Partial<ChainDemand>) =>
    choose(changes)
      ?.map((stage) => stage.endpointId)
      .join(",");
  const reserve = () => {
    const chain = choose();
    return chain === undefined ? undefined : new ChainReservation(endpoints, chain, tokens);
  };
  return { clock, endpoints, get, chooseIds, reserve };
}

const threeEngines = { a: [0, 4], b: [0, 4], c: [0, 4] } as const;

// Guards against refusals for lack of capacity while all engines are only silent for a moment and have free slots.
test("a request is not refused while all engines are only in doubt, and goes to the one that was heard last", (t) => {
  const { clock, endpoints, get, chooseIds } = setUp(threeEngines);
  get("a").heardAtMs = clock.nowMs - 1_500;
  get("b").heardAtMs = clock.nowMs - 600;
  get("c").heardAtMs = clock.nowMs - 900;
  for (const id of ["a", "b", "c"]) endpoints.suspect(id, "unanswered");
  t.is(chooseIds(), "b");
});

test("an engine in doubt gets one request at a time until it gives a sign", (t) => {
  const { clock, endpoints, get, chooseIds, reserve } = setUp(threeEngines);
  for (const id of ["a", "b", "c"]) endpoints.suspect(id, "unanswered");
  const trials = [reserve(), reserve(), reserve()];
  t.is(new Set(trials.map((trial) => trial?.stages[0]?.endpointId)).size, 3);
  t.is(chooseIds(), undefined);
  const first = trials[0]?.stages[0]?.endpointId ?? "";
  trials[0]?.release();
  t.is(chooseIds(), undefined, "a failed trial is not repeated at once");
  clock.nowMs += 500;
  t.is(chooseIds(), first);
  trials[1]?.notePromptRead();
  const second = trials[1]?.stages[0]?.endpointId ?? "";
  t.false(get(second).isSuspect(clock.nowMs), "the first event has passed the engine");
  t.deepEqual(
    [reserve(), reserve()].map((each) => each?.stages[0]?.endpointId),
    [second, second],
  );
});

test("an engine that is certainly lost gets no requests, even if no other is left", (t) => {
  const { endpoints, chooseIds } = setUp(threeEngines);
  for (const id of ["a", "b", "c"]) endpoints.suspect(id, "lost");
  t.is(chooseIds(), undefined);
});

test("an engine whose requests have just failed gets no requests while it is in doubt", (t) => {
  const { clock, endpoints, get, chooseIds } = setUp({ a: [0, 4] });
  endpoints.suspect("a", "unanswered");
  get("a").circuitBreaker.noteFailed(clock.nowMs - 10, clock.nowMs);
  t.is(chooseIds(), undefined);
});

// Guards against requests that dead engines attract while the others are only full.
test("engines in doubt get no requests while as many others have the same layers, even if those are full", (t) => {
  const { endpoints, get, chooseIds } = setUp(threeEngines);
  endpoints.suspect("a", "unanswered");
  t.is(chooseIds(), "b");
  for (const id of ["b", "c"]) get(id).addOwnLoad(8, getCapacityTokenLayers(get(id), profile));
  t.is(chooseIds(), undefined);
  endpoints.suspect("b", "unanswered");
  t.is(chooseIds(), "a", "most engines are in doubt");
});

// Guards against requests that a zone without paths to the others sends there, since its own engines are full.
test("engines of other zones that are silent get no requests while those of the own zone are sound", (t) => {
  const { endpoints, get, chooseIds } = setUp({ a: [0, 4], b: [0, 4], c: [0, 4] });
  for (const id of ["b", "c"])
    get(id).listed = { ...get(id).listed, availabilityZone: id === "b" ? "west" : "north" };
  for (const id of ["b", "c"]) endpoints.suspect(id, "unanswered");
  get("a").addOwnLoad(8, getCapacityTokenLayers(get("a"), profile));
  t.is(chooseIds(), undefined);
  endpoints.suspect("a", "unanswered");
  t.regex(chooseIds() ?? "", /^[bc]$/, "the own engine is full");
});

// Guards against a herd: all instances see the same silence, and an engine can't reject what it does not read.
test("instances that see the same silence do not all try the same engine", (t) => {
  const ids = Array.from({ length: 8 }, (_, index) => `e${index}`);
  const { clock, endpoints, get } = setUp(Object.fromEntries(ids.map((id) => [id, [0, 4] as const])));
  for (const id of ids) {
    get(id).heardAtMs = clock.nowMs - 900;
    endpoints.suspect(id, "unanswered");
  }
  const counts = new Map<string, number>();
  const instances = 80;
  for (let seed = 1; seed <= instances; seed++) {
    const random = new utils.RandomSource(seed);
    const chooser = new ChainChooser(
      () => clock.nowMs,
      () => random.nextUnit(),
    );
    const id = chooser.choose(endpoints.getUsable("engines"), profile, demand)?.[0]?.endpointId ?? "";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  t.is(counts.size, ids.length);
  t.true(Math.max(...counts.values()) < (3 * instances) / ids.length);
});

test("a chain has as few engines in doubt as possible", (t) => {
  const { endpoints, chooseIds } = setUp({ a: [0, 4], b: [0, 2], c: [2, 4], d: [2, 4] });
  for (const id of ["a", "c", "d"]) endpoints.suspect(id, "unanswered");
  t.regex(chooseIds() ?? "", /^(a|b,[cd])$/);
  endpoints.suspect("b", "unanswered");
  t.is(chooseIds(), "a");
});

test("a request that may not be sent again does not test an engine", (t) => {
  const { endpoints, chooseIds } = setUp(threeEngines);
  for (const id of ["a", "b", "c"]) endpoints.suspect(id, "unanswered");
  t.is(chooseIds({ mayProbe: false }), undefined);
  t.is(chooseIds({ mayProbe: undefined }), undefined);
});

test("an engine that has given a sign since its suspicion is used like the others", (t) => {
  const { clock, endpoints, get, chooseIds } = setUp(threeEngines);
  for (const id of ["a", "b", "c"]) endpoints.suspect(id, "unanswered");
  get("b").heardAtMs = clock.nowMs + 20;
  clock.nowMs += 100;
  t.is(chooseIds({ mayProbe: false }), undefined, "the sign may be as old as the suspicion");
  get("b").heardAtMs = clock.nowMs;
  t.is(chooseIds({ mayProbe: false }), "b");
});

test("a first event does not clear an engine that is lost, has restarted or was left meanwhile", (t) => {
  for (const change of ["lost", "restarted", "left"] as const) {
    const { clock, endpoints, get, reserve } = setUp({ a: [0, 4] });
    endpoints.noteStart("a", 1, [{ start: 0, end: 4 }]);
    endpoints.suspect("a", "unanswered");
    const before = get("a");
    const trial = reserve();
    t.is(before.trials, 1);
    if (change === "lost") endpoints.suspect("a", "lost");
    if (change === "restarted") endpoints.noteStart("a", 2, [{ start: 0, end: 4 }]);
    if (change === "restarted") endpoints.suspect("a", "unanswered");
    if (change === "left") trial?.move([]);
    trial?.notePromptRead();
    t.true(get("a").isSuspect(clock.nowMs), change);
    t.is(before.trials, 0);
  }
});

test("the first trial of each suspicion is reported", (t) => {
  const { clock, endpoints, reserve } = setUp({ a: [0, 4] });
  const events: string[] = [];
  endpoints.onChanged(({ id }, event) => events.push(`${event} ${id}`));
  endpoints.suspect("a", "unanswered");
  reserve()?.release();
  clock.nowMs += 500;
  reserve()?.release();
  endpoints.clear("a");
  clock.nowMs += 1_000;
  endpoints.suspect("a", "unanswered");
  reserve();
  t.deepEqual(events, ["suspected a", "tried a", "cleared a", "suspected a", "tried a"]);
});
