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
    const log = new DecisionLog(new SilentLogOutput(), nowMs);
    const table = new EndpointTable(nowMs);
    const watch = new EndpointWatch(table, new AbsentFeed(), log, { nowMs });
    const activeConfiguration = new ActiveConfiguration();
    const exchange = new PeerExchange({
      membership: network.join({ name, availabilityZone: "east" }),
      activeConfiguration,
      endpoints: table,
      log,
      getEndpointListAgeMs: () => watch.follower.getFreshnessAgeMs(),
      history: new ConfigurationHistory(activeConfiguration),
      getBehindMs: () => 0,
      getConfigurationOffset: () => 0,
      advanceTo: () => undefined,
      getEndpointListOffset: () => watch.follower.nextOffset,
      applyEndpointList: (list, nextOffset, freshAtMs) => watch.applyPeerList(list, nextOffset, freshAtMs),
      isRegistryReached: () => true,
      getInstances: () => [],
      addInstances: () => undefined,
      nowMs,
    });
    return {
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

// Guards against requests to an endpoint seconds after its entry has gone, for as long as the endpoint's process runs.
test("an endpoint that a peer keeps for a grace period after its removal gets no work at an instance that takes the peer's list", async (t) => {
  const { clock, join } = setUp();
  const peer = join("a");
  const behind = join("b");
  behind.readSnapshot(["gone", "here"], 10);
  clock.nowMs += 2_000;
  keepGone(peer);
  await behind.exchange.requestIfStale();
  t.is(behind.watch.follower.nextOffset, 11);
  t.deepEqual(behind.getUsable(), ["here"]);
});

// Guards against a leader that takes endpoints back which it has just dropped, and sends orders to them for good.
test("a list from an instance that still keeps a removed endpoint does not bring the endpoint back where it has been dropped", async (t) => {
  const { clock, join } = setUp();
  const peer = join("a");
  const behind = join("b");
  behind.readSnapshot(["gone", "here"], 10);
  clock.nowMs += 2_000;
  keepGone(peer);
  const request = behind.exchange.requestIfStale();
  behind.readRemoval("gone", 10, 300);
  await request;
  t.is(behind.table.get("gone"), undefined);
});
