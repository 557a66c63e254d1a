/**
 * Tests restarts of an endpoint under the same id: the new process has none of the layers and state of its previous life, and late entries,
 * reports, peer messages and orders of that life change nothing, in whatever order they arrive.
 */
import test from "ava";
import { EndpointTable, type EndpointEvent } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { LifeCheckedOrders } from "../../orders/LifeCheckedOrders.js";
import { createListed } from "../testData.js";
import { FakeEngines } from "../FakeEngines.js";

const layers = [{ start: 0, end: 4 }];
/** Starts of the process in Unix milliseconds; never compared with a clock. */
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

test("an endpoint that restarted between two entries is replaced, without the previous load, suspicion and layers", (t) => {
  const { clock, table, events, list } = setUp();
  const before = table.get("a");
  before?.addOwnLoad(3, 300);
  before?.noteFull(clock.nowMs);
  before?.setPeerLoad("collected", { requests: 2, tokenLayers: 20, promptTokens: 0 });
  table.suspect("a");
  list({ bornAtMs: second });
  const after = table.get("a");
  t.not(after, before);
  t.deepEqual(after?.getLoad(), { requests: 0, tokenLayers: 0, promptTokens: 0 });
  t.false(after?.isSuspect(clock.nowMs));
  t.is(after?.getObservedCapacityTokenLayers(clock.nowMs), Number.POSITIVE_INFINITY);
  t.deepEqual(after?.listed.layers, []);
  t.deepEqual(events, ["added", "suspected", "restarted", "added"]);
});

test("a late entry of the earlier life changes nothing, even after the newer entry was removed", (t) => {
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

test("an entry without a start does not apply to an endpoint that reports its start", (t) => {
  const { table, list } = setUp();
  list({ layers: [{ start: 2, end: 4 }] });
  t.deepEqual(table.get("a")?.listed.layers, layers);
});

test("the draining of the earlier life does not apply to the next one", (t) => {
  const { table, list } = setUp();
  list({ bornAtMs: first, isDraining: true });
  t.deepEqual(table.getUsable("engines"), []);
  list({ bornAtMs: second });
  t.is(table.getUsable("engines").length, 1);
});

test("of two restarts that are reported out of order, the newest start counts", (t) => {
  const { table, list } = setUp();
  list({ bornAtMs: third });
  list({ bornAtMs: second, layers });
  t.is(table.get("a")?.listed.bornAtMs, third);
  t.deepEqual(table.get("a")?.listed.layers, []);
});

test("an older complete list from a peer does not undo a restart", (t) => {
  const { table, list } = setUp();
  list({ bornAtMs: second });
  table.setAll(new Map([["a", createListed("a", { bornAtMs: first, layers })]]));
  t.deepEqual(table.get("a")?.listed.layers, []);
});

test("messages of peers apply only to the life that they name", (t) => {
  const { table, list } = setUp();
  const lifeBefore = table.get("a")?.lifeId ?? "";
  list({ bornAtMs: second });
  const life = table.get("a")?.lifeId ?? "";
  t.is(table.getLife(lifeBefore), undefined);
  t.is(table.getLife(life), table.get("a"));
  table.setPeerLoads("collected", new Map([[lifeBefore, { requests: 5, tokenLayers: 50, promptTokens: 0 }]]));
  t.is(table.get("a")?.getLoad().requests, 0);
  table.setPeerLoads("collected", new Map([[life, { requests: 5, tokenLayers: 50, promptTokens: 0 }]]));
  t.is(table.get("a")?.getLoad().requests, 5);
});

test("endpoints that never report a start have one life, identified by their id", (t) => {
  const { table, events, list } = setUp({});
  list({ layers: [] });
  t.is(table.get("a")?.lifeId, "a");
  t.deepEqual(events, ["added", "layers"]);
});

test("a report of a newer life is a restart that is broadcast once; a report of an earlier life is rejected", async (t) => {
  const { table, list } = setUp();
  const engines = new FakeEngines();
  const broadcast: [string, number][] = [];
  const orders = new LifeCheckedOrders(engines, table, (id, bornAtMs) => broadcast.push([id, bornAtMs]));
  const getReport = () => orders.getReport({ id: "a", address: "a:1" }, 100);
  engines.reports.set("a", { bornAtMs: second, layers: [] });
  t.true((await getReport()).ok);
  t.true((await getReport()).ok);
  t.deepEqual(broadcast, [["a", second]]);
  t.deepEqual(table.get("a")?.listed.layers, [], "before the list shows the restart");
  engines.reports.set("a", { bornAtMs: first, layers });
  const late = await getReport();
  t.is(late.err ? late.val.code : "", "earlier_life");
  list({ bornAtMs: second, layers });
  t.deepEqual(table.get("a")?.listed.layers, layers);
});

test("an unreadable entry takes an endpoint out of use at once, and permanently unless it is written again", (t) => {
  const { clock, table, list } = setUp();
  const unreadable = { key: "a", value: undefined, isUnreadable: true };
  table.apply([unreadable]);
  t.deepEqual(table.getUsable("engines"), []);
  clock.nowMs += 1_200;
  list({ bornAtMs: first, layers });
  t.is(table.getUsable("engines").length, 1, "the endpoint wrote its entry again");
  table.apply([unreadable]);
  clock.nowMs += 1_200;
  table.apply([unreadable]);
  clock.nowMs += 1_300;
  table.dropMissing();
  t.is(table.get("a"), undefined, "a second unreadable value does not extend the grace period");
});

test("an unreadable entry affects no other entry, and adds no unknown endpoint", (t) => {
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

// Guards against an entry that is still listed as ready, or is written again, and reverts the draining that the endpoint itself has stated.
test("draining that an endpoint has stated itself outlasts its entries until a restart", (t) => {
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
  t.false(table.noteDraining(lifeId), "a late statement of the earlier life");
  t.is(table.getUsable("engines").length, 1);
  t.deepEqual(events, ["added", "draining", "gone", "added", "restarted", "added"]);
});

test("an endpoint that drains before its entry is known gets no work afterwards", (t) => {
  const { table } = setUp();
  t.true(table.noteDraining("b"));
  table.apply([{ key: "b", value: createListed("b") }]);
  t.deepEqual(
    table.getUsable("engines").map(({ id }) => id),
    ["a"],
  );
});

// Guards against an endpoint that is gone and gets work for good, since its entry and its restart were taken in the wrong order.
test("a restart that a peer or a report shows does not end the grace period of an endpoint whose entry is missing", (t) => {
  const { clock, table } = setUp();
  table.noteStoreReturned();
  table.apply([{ key: "a", value: undefined }]);
  table.noteStart("a", second, []);
  t.deepEqual(table.getUsable("engines"), []);
  clock.nowMs += 2_000;
  table.dropMissing();
  t.is(table.get("a"), undefined);
});

// Guards against a back-off and a limit that are forgotten with the entry, although the endpoint that asked for them goes on.
test("an endpoint whose entry lapses and is written again keeps its back-off, its limit and its load", (t) => {
  for (const bornAtMs of [undefined, first]) {
    const { clock, table, list } = setUp({ bornAtMs });
    const before = table.get("a");
    before?.backoff.extendTo(clock.nowMs + 5_000, clock.nowMs);
    before?.addOwnLoad(1, 0);
    if (before !== undefined) before.limit = { perSecond: 3, atMs: clock.nowMs };
    table.suspect("a");
    table.apply([{ key: "a", value: undefined }]);
    clock.nowMs += 1_500;
    list({ bornAtMs });
    const after = table.get("a");
    t.false(after?.hasPermit(clock.nowMs));
    t.is(after?.backoff.getLeftMs(clock.nowMs), 3_500);
    t.is(after?.limit?.perSecond, 3);
    t.is(after?.ownLoad.requests, 1);
    t.false(after?.isSuspect(clock.nowMs));
  }
});

test("the back-off of an endpoint whose entry lapsed does not apply to another life, or to another address", (t) => {
  for (const changes of [{ bornAtMs: second }, { bornAtMs: first, address: "10.0.0.99:1" }]) {
    const { clock, table, list } = setUp();
    table.get("a")?.backoff.extendTo(clock.nowMs + 5_000, clock.nowMs);
    table.apply([{ key: "a", value: undefined }]);
    list(changes);
    t.true(table.get("a")?.hasPermit(clock.nowMs));
  }
});
