/** Tests that draining or removed endpoints get no new work, and that endpoints stay known while the store briefly lacks their entries. */
import test from "ava";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { createListed } from "../testData.js";

function setUp(ids: readonly string[]) {
  const clock = { nowMs: 10_000 };
  const table = new EndpointTable(() => clock.nowMs);
  const set = (listed: ListedEndpoint[]): void =>
    table.setAll(new Map(listed.map((item) => [item.id, item])));
  set(ids.map((id) => createListed(id)));
  const getUsable = (): string[] => table.getUsable("engines").map((endpoint) => endpoint.id);
  return { clock, table, set, getUsable };
}

test("an endpoint whose entry was removed is gone at once", (t) => {
  const { table, getUsable } = setUp(["a", "b"]);
  table.apply([{ key: "a", value: undefined }]);
  t.deepEqual(getUsable(), ["b"]);
  t.is(table.get("a"), undefined);
});

test("a draining endpoint stays known but gets no new work, even if a later entry does not say so", (t) => {
  const { table, getUsable } = setUp(["a"]);
  table.apply([{ key: "a", value: createListed("a", { isDraining: true }) }]);
  table.apply([{ key: "a", value: createListed("a") }]);
  t.deepEqual(getUsable(), []);
  t.truthy(table.get("a"));
});

test("entries that expired while the store was unavailable reappear within the grace period, or are gone", (t) => {
  const { clock, table, set, getUsable } = setUp(["a", "b"]);
  table.noteStoreReturned();
  set([]);
  t.deepEqual(getUsable(), [], "no new work in the meantime");
  t.truthy(table.get("a"), "still known");
  clock.nowMs += 1_000;
  table.apply([{ key: "a", value: createListed("a") }]);
  clock.nowMs += 1_500;
  table.dropMissing();
  t.deepEqual(getUsable(), ["a"]);
  t.is(table.get("b"), undefined);
});

test("a suspicion ends with a heartbeat that is newer than the evidence", (t) => {
  const { clock, table } = setUp(["a"]);
  t.true(table.suspect("a"));
  t.false(table.suspect("a"), "the same evidence is reported once");
  table.apply([{ key: "a", value: createListed("a") }]);
  t.true(table.get("a")?.isSuspect(clock.nowMs), "a heartbeat from before the evidence proves nothing");
  clock.nowMs += 1_200;
  table.apply([{ key: "a", value: createListed("a") }]);
  t.false(table.get("a")?.isSuspect(clock.nowMs));
});

test("suspicions of a silent endpoint double in duration", (t) => {
  const { clock, table } = setUp(["a"]);
  table.suspect("a");
  clock.nowMs += 3_000;
  t.false(table.get("a")?.isSuspect(clock.nowMs));
  table.suspect("a");
  clock.nowMs += 3_000;
  t.true(table.get("a")?.isSuspect(clock.nowMs));
});

test("a suspicion after a long time without suspicions has the initial duration", (t) => {
  const { clock, table } = setUp(["a"]);
  for (let count = 0; count < 4; count++) {
    table.suspect("a");
    clock.nowMs += 24_000;
  }
  clock.nowMs += 60_000;
  table.suspect("a");
  clock.nowMs += 3_000;
  t.false(table.get("a")?.isSuspect(clock.nowMs));
});

test("a new process assumes that each peer has the same load as itself, until a peer reports its load or the assumption ends", (t) => {
  const createTable = (): EndpointTable => {
    const table = new EndpointTable(() => 0);
    table.setAll(new Map([["e1", createListed("e1")]]));
    table.get("e1")?.addOwnLoad(2, 50);
    table.assumePeers(3);
    return table;
  };
  const reported = createTable();
  t.deepEqual(reported.get("e1")?.getLoad(), { requests: 8, tokenLayers: 200, promptTokens: 0 });
  reported.setPeerLoads("collected", new Map([["e1", { requests: 1, tokenLayers: 10, promptTokens: 0 }]]));
  t.deepEqual(reported.get("e1")?.getLoad(), { requests: 3, tokenLayers: 60, promptTokens: 0 });
  const alone = createTable();
  alone.endAssumption();
  // The registry of instances is read again later.
  alone.assumePeers(3);
  t.deepEqual(alone.get("e1")?.getLoad(), { requests: 2, tokenLayers: 50, promptTokens: 0 });
});
