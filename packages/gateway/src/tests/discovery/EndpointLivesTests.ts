/**
 * An endpoint may start again under its id: it then holds and knows nothing of before. What is still under way of its earlier life (late
 * entries, reports, peers' words, orders) changes nothing, in whatever order it arrives.
 */
import test from "ava";
import { EndpointTable, type EndpointEvent } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { LifeCheckedOrders } from "../../orders/LifeCheckedOrders.js";
import { createListed } from "../testData.js";
import { FakeEngines } from "../FakeEngines.js";

const layers = [{ start: 0, end: 4 }];
/** Starts of the process, as Unix times; nothing compares them with a clock. */
const [first, second, third] = [1_000, 2_000, 3_000];

function setUp(start: Partial<ListedEndpoint> = { bornAtMs: first }) {
  const clock = { nowMs: 10_000 };
  const table = new EndpointTable(() => clock.nowMs);
  const events: EndpointEvent[] = [];
  table.onChanged((_endpoint, event) => events.push(event));
  const list = (changes: Partial<ListedEndpoint>): void =>
    table.apply([{ key: "a", value: createListed("a", changes) }]);
  list({ ...start, layers });
  return { clock, table, events, list };
}

test("an endpoint that started again between two entries is another one, without load, suspicion or layers of before", (t) => {
  const { clock, table, events, list } = setUp();
  const before = table.get("a");
  before?.addOwn(3, 300);
  before?.noteFull(clock.nowMs);
  before?.setPeerLoad("collected", { requests: 2, tokenLayers: 20 });
  table.suspect("a");
  list({ bornAtMs: second });
  const after = table.get("a");
  t.not(after, before);
  t.deepEqual(after?.getLoad(), { requests: 0, tokenLayers: 0 });
  t.false(after?.isSuspect(clock.nowMs));
  t.is(after?.getSeenFullTokenLayers(clock.nowMs), Number.POSITIVE_INFINITY);
  t.deepEqual(after?.listed.layers, []);
  t.deepEqual(events, ["added", "suspected", "restarted", "added"]);
});

test("an entry of the earlier life that comes late changes nothing, also after the newer one was dropped", (t) => {
  const { table, list } = setUp();
  list({ bornAtMs: second });
  list({ bornAtMs: first, layers });
  t.deepEqual(table.get("a")?.listed.layers, []);
  table.apply([{ key: "a", value: undefined }]);
  list({ bornAtMs: first, layers });
  t.is(table.get("a"), undefined);
  list({ bornAtMs: second, layers });
  t.deepEqual(table.get("a")?.listed.layers, layers);
});

test("an entry without a start is not of an endpoint that tells its start", (t) => {
  const { table, list } = setUp();
  list({ layers: [{ start: 2, end: 4 }] });
  t.deepEqual(table.get("a")?.listed.layers, layers);
});

test("a drain of the earlier life does not bind the next one", (t) => {
  const { table, list } = setUp();
  list({ bornAtMs: first, isDraining: true });
  t.deepEqual(table.getUsable("engines"), []);
  list({ bornAtMs: second });
  t.is(table.getUsable("engines").length, 1);
});

test("twice in a row, told out of order: the newest start counts", (t) => {
  const { table, list } = setUp();
  list({ bornAtMs: third });
  list({ bornAtMs: second, layers });
  t.is(table.get("a")?.listed.bornAtMs, third);
  t.deepEqual(table.get("a")?.listed.layers, []);
});

test("a whole list of before, as a peer may give it, takes nothing back", (t) => {
  const { table, list } = setUp();
  list({ bornAtMs: second });
  table.setAll(new Map([["a", createListed("a", { bornAtMs: first, layers })]]));
  t.deepEqual(table.get("a")?.listed.layers, []);
});

test("peers' words name the life that they are of", (t) => {
  const { table, list } = setUp();
  const lifeBefore = table.get("a")?.lifeId ?? "";
  list({ bornAtMs: second });
  const life = table.get("a")?.lifeId ?? "";
  t.is(table.getLife(lifeBefore), undefined);
  t.is(table.getLife(life), table.get("a"));
  table.setPeerLoads("collected", new Map([[lifeBefore, { requests: 5, tokenLayers: 50 }]]));
  t.is(table.get("a")?.getLoad().requests, 0);
  table.setPeerLoads("collected", new Map([[life, { requests: 5, tokenLayers: 50 }]]));
  t.is(table.get("a")?.getLoad().requests, 5);
});

test("endpoints that never tell a start have one life, under their id", (t) => {
  const { table, events, list } = setUp({});
  list({ layers: [] });
  t.is(table.get("a")?.lifeId, "a");
  t.deepEqual(events, ["added", "layers"]);
});

test("a report of a newer life is a restart, told to the peers once; one of an earlier life is no report", async (t) => {
  const { table, list } = setUp();
  const engines = new FakeEngines();
  const told: [string, number][] = [];
  const orders = new LifeCheckedOrders(engines, table, (id, bornAtMs) => told.push([id, bornAtMs]));
  const ask = () => orders.getReport({ id: "a", address: "a:1" }, 100);
  engines.reports.set("a", { bornAtMs: second, layers: [] });
  t.true((await ask()).ok);
  t.true((await ask()).ok);
  t.deepEqual(told, [["a", second]]);
  t.deepEqual(table.get("a")?.listed.layers, [], "before the list tells");
  engines.reports.set("a", { bornAtMs: first, layers });
  const late = await ask();
  t.is(late.err ? late.val.code : "", "earlier_life");
  list({ bornAtMs: second, layers });
  t.deepEqual(table.get("a")?.listed.layers, layers);
});

test("what can't be read takes an endpoint out of use at once, and for good unless it writes again", (t) => {
  const { clock, table, list } = setUp();
  const unreadable = { key: "a", value: undefined, isUnreadable: true };
  table.apply([unreadable]);
  t.deepEqual(table.getUsable("engines"), []);
  clock.nowMs += 1_200;
  list({ bornAtMs: first, layers });
  t.is(table.getUsable("engines").length, 1, "written again by itself");
  table.apply([unreadable]);
  clock.nowMs += 1_200;
  table.apply([unreadable]);
  clock.nowMs += 1_300;
  table.dropMissing();
  t.is(table.get("a"), undefined, "more of the same gives no longer grace");
});

test("an unreadable entry hides no other, and names nothing where nothing was", (t) => {
  const { table } = setUp();
  table.apply([
    { key: "b", value: undefined, isUnreadable: true },
    { key: "c", value: createListed("c") },
  ]);
  t.deepEqual(
    table.getUsable("engines").map((endpoint) => endpoint.id),
    ["a", "c"],
  );
});

// Guards against an entry, still written as ready or written anew, that takes back an endpoint's own word that it leaves.
test("what an endpoint says of its leaving outlasts its entries, until it starts again", (t) => {
  const { table, events, list } = setUp();
  const lifeId = table.get("a")?.lifeId ?? "";
  t.true(table.noteDraining(lifeId));
  t.false(table.noteDraining(lifeId));
  list({ bornAtMs: first, layers });
  t.deepEqual(table.getUsable("engines"), []);
  table.apply([{ key: "a", value: undefined }]);
  list({ bornAtMs: first, layers });
  t.deepEqual(table.getUsable("engines"), []);
  t.deepEqual(table.getDrainingLives(), [lifeId]);
  list({ bornAtMs: second });
  t.is(table.getUsable("engines").length, 1);
  t.false(table.noteDraining(lifeId), "a late word of the earlier life");
  t.is(table.getUsable("engines").length, 1);
  t.deepEqual(events, ["added", "draining", "gone", "added", "restarted", "added"]);
});

test("an endpoint that leaves before its entry is known gets nothing once it is", (t) => {
  const { table } = setUp();
  t.true(table.noteDraining("b"));
  table.apply([{ key: "b", value: createListed("b") }]);
  t.deepEqual(
    table.getUsable("engines").map(({ id }) => id),
    ["a"],
  );
});
