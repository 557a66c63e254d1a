/** Tests that a list of endpoints taken from a peer holds at the offset that comes with it, and brings no endpoint back. */
import { errors, results } from "@shedtiller/common";
import test from "ava";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ChangeFeed, type FeedPage, type FeedSnapshot, type StoreError } from "../../discovery/ChangeFeed.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { EndpointWatch } from "../../discovery/EndpointWatch.js";
import type { ListedEndpoint } from "../../discovery/ListedEndpoint.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { PeerExchange } from "../../peers/PeerExchange.js";
import { peerTopics } from "../../peers/peerMessages.js";
import { PeerNetwork } from "../peers/PeerNetwork.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed } from "../testData.js";

/** A store that serves nobody: the tests pass on what instances would have read. */
class AbsentFeed extends ChangeFeed<ListedEndpoint> {
  override getSnapshot(): Promise<results.Result<FeedSnapshot<ListedEndpoint>, StoreError>> {
    return Promise.resolve(results.Err(new errors.ConnectionLostError("store")));
  }

  override getChanges(): Promise<results.Result<FeedPage<ListedEndpoint>, StoreError>> {
    return Promise.resolve(results.Err(new errors.ConnectionLostError("store")));
  }
}

function setUp() {
  const clock = { nowMs: 10_000 };
  const nowMs = (): number => clock.nowMs;
  const network = new PeerNetwork();
  const join = (name: string) => {
    const membership = network.join({ name, availabilityZone: "east" });
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const table = new EndpointTable(nowMs);
    const watch = new EndpointWatch(table, new AbsentFeed(), log, { nowMs });
    const activeConfiguration = new ActiveConfiguration();
    const exchange = new PeerExchange({
      membership,
      activeConfiguration,
      endpoints: table,
      log,
      getEndpointListAgeMs: () => watch.follower.getFreshnessAgeMs(),
      history: new ConfigurationHistory(activeConfiguration),
      getBehindMs: () => 0,
      getConfigurationOffset: () => 0,
      advanceTo: () => undefined,
      getEndpointListOffset: () => watch.follower.nextOffset,
      applyEndpointList: (list) => watch.applyPeerList(list),
      isRegistryReached: () => true,
      getInstances: () => [],
      addInstances: () => undefined,
      nowMs,
    });
    return {
      membership,
      table,
      watch,
      exchange,
      readSnapshot: (ids: readonly string[], nextOffset: number) =>
        watch.follower.applyPeerSnapshot(
          new Map(ids.map((id) => [id, createListed(id)])),
          nextOffset,
          clock.nowMs,
        ),
      readRemoval: (id: string, fromOffset: number, ageMs = 0) =>
        watch.follower.applyPeerPage(
          { fromOffset, nextOffset: fromOffset + 1, changes: [{ key: id, value: undefined }] },
          clock.nowMs - ageMs,
        ),
      getUsable: () => table.getUsable("engines").map((endpoint) => endpoint.id),
    };
  };
  return { clock, network, join };
}

type Joined = ReturnType<ReturnType<typeof setUp>["join"]>;

/** Lets an instance read the removal of endpoint "gone" just after the store has returned, so that the instance keeps the endpoint for a while. */
function keepGone(peer: Joined): void {
  peer.readSnapshot(["gone", "here"], 10);
  peer.table.noteStoreReturned();
  peer.readRemoval("gone", 10);
}

/** Sets up an instance that keeps endpoint "gone" for a while, and one that has not read its removal. */
function setUpGrace() {
  const { clock, join } = setUp();
  const peer = join("a");
  const behind = join("b");
  behind.readSnapshot(["gone", "here"], 10);
  clock.nowMs += 2_000;
  keepGone(peer);
  return { clock, peer, behind };
}

// Guards against requests to an endpoint seconds after its entry has gone, for as long as the endpoint's process runs.
test("an endpoint that a peer keeps for a grace period after its removal gets no work at an instance that takes the peer's list", async (t) => {
  const { behind } = setUpGrace();
  await behind.exchange.requestIfStale();
  t.is(behind.watch.follower.nextOffset, 11);
  t.deepEqual(behind.getUsable(), ["here"]);
});

// Guards against a leader that takes endpoints back which it has just dropped, and sends orders to them for good.
test("a list from an instance that still keeps a removed endpoint does not bring the endpoint back where it has been dropped", async (t) => {
  const { behind } = setUpGrace();
  const request = behind.exchange.requestIfStale();
  behind.readRemoval("gone", 10, 300);
  await request;
  t.is(behind.table.get("gone"), undefined);
});

test("an instance that takes a peer's list keeps the endpoints that the peer keeps, and drops them at the same moment", async (t) => {
  const { clock, peer, behind } = setUpGrace();
  clock.nowMs += 500;
  await behind.exchange.requestIfStale();
  for (const [elapsedMs, isKnown] of [
    [1_499, true],
    [1, false],
  ] as const) {
    clock.nowMs += elapsedMs;
    for (const { table } of [peer, behind]) {
      table.dropMissing();
      t.is(table.get("gone") !== undefined, isKnown);
    }
  }
});

test("an endpoint that is missing in a peer's list gets work again once its entry is back", async (t) => {
  const { clock, behind } = setUpGrace();
  await behind.exchange.requestIfStale();
  const changes = [{ key: "gone", value: createListed("gone") }];
  behind.watch.follower.applyPeerPage({ fromOffset: 11, nextOffset: 12, changes }, clock.nowMs);
  t.deepEqual(behind.getUsable(), ["gone", "here"]);
});

test("a peer's list that shows an endpoint as ready does not end its draining, nor that of one that was gone in between", async (t) => {
  const { clock, join } = setUp();
  const peer = join("a");
  const behind = join("b");
  behind.readSnapshot(["here", "leaves", "returns"], 10);
  for (const id of ["leaves", "returns"]) behind.table.noteDraining(id);
  behind.readRemoval("returns", 10);
  clock.nowMs += 2_000;
  peer.readSnapshot(["here", "leaves", "returns"], 12);
  await behind.exchange.requestIfStale();
  t.is(behind.watch.follower.nextOffset, 12);
  t.deepEqual(behind.getUsable(), ["here"]);
});

/** Has an instance answer requests for its list as earlier versions do, which list endpoints that they keep for a grace period. */
function answerAsEarlierVersion({ membership, table, watch }: Joined): void {
  membership.onRequest(peerTopics.endpoints, () => {
    const endpoints = table.getAll().map(({ listed }) => listed);
    return { proofAgeMs: 0, nextOffset: watch.follower.nextOffset, endpoints };
  });
}

// Guards against endpoints that are gone, taken for good from an instance of an earlier version during an upgrade.
test("the list of an earlier version adds no endpoint and advances no offset, but shows which endpoints drain or are gone", async (t) => {
  const { clock, join } = setUp();
  const peer = join("a");
  const behind = join("b");
  answerAsEarlierVersion(peer);
  behind.readSnapshot(["here", "leaves", "ended"], 10);
  clock.nowMs += 2_000;
  peer.readSnapshot(["gone", "here", "leaves"], 10);
  peer.table.noteDraining("leaves");
  peer.table.noteStoreReturned();
  peer.readRemoval("gone", 10);
  await behind.exchange.requestIfStale();
  t.deepEqual(behind.getUsable(), ["here"]);
  t.deepEqual(
    behind.table.getAll().map(({ id }) => id),
    ["here", "leaves"],
  );
  t.is(behind.watch.follower.nextOffset, 10);
});

test("an instance that has read nothing yet serves by the list of an earlier version, until it reads the store or a list that it can trust", async (t) => {
  const { clock, join } = setUp();
  const peer = join("a");
  const started = join("b");
  answerAsEarlierVersion(peer);
  keepGone(peer);
  await started.exchange.requestIfStale();
  t.true(started.table.hasList);
  t.deepEqual(started.getUsable(), ["gone", "here"]);
  t.is(started.watch.follower.nextOffset, undefined);
  const upgraded = join("c");
  clock.nowMs += 3_000;
  upgraded.readSnapshot(["here"], 11);
  peer.membership.onRequest(peerTopics.endpoints, () => undefined);
  await started.exchange.requestIfStale();
  t.deepEqual(started.getUsable(), ["here"]);
  t.is(started.watch.follower.nextOffset, 11);
});

test("an older list does not undo what the newer list of an earlier version has shown", async (t) => {
  const { clock, join } = setUp();
  const peer = join("a");
  const behind = join("b");
  answerAsEarlierVersion(peer);
  behind.readSnapshot(["gone", "here"], 8);
  clock.nowMs += 2_000;
  peer.readSnapshot(["here"], 11);
  await behind.exchange.requestIfStale();
  const missing: [] = [];
  const endpoints = ["gone", "here"].map((id) => createListed(id));
  behind.watch.applyPeerList({ endpoints, missing, nextOffset: 10, freshAtMs: clock.nowMs });
  t.deepEqual(behind.getUsable(), ["here"]);
});

test("an instance of an earlier version gets no list while endpoints are missing from it", async (t) => {
  const { clock, join } = setUp();
  const peer = join("a");
  const earlier = join("b");
  keepGone(peer);
  const request = async (): Promise<unknown> => {
    const reply = await earlier.membership.request("a", peerTopics.endpoints, { nextOffset: 10 }, 400);
    return reply.ok ? reply.val : reply.val.code;
  };
  t.is(await request(), undefined);
  clock.nowMs += 2_000;
  peer.table.dropMissing();
  t.like(await request(), { nextOffset: 11, endpoints: [{ id: "here" }] });
});
