/** A new version is told to all, but each takes the large body from one place only. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { PeerExchange } from "../../peers/PeerExchange.js";
import { createConfiguration, createListed } from "../testData.js";
import { SilentSink } from "../SilentSink.js";
import { PeerNetwork } from "./PeerNetwork.js";

const patienceMs = 60_000;

interface Joined {
  readonly keeper: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly exchange: PeerExchange;
}

function join(network: PeerNetwork, name: string, availabilityZone = "east"): Joined {
  const keeper = new ActiveConfiguration();
  const endpoints = new EndpointTable();
  const exchange = new PeerExchange({
    membership: network.join({ name, availabilityZone }),
    activeConfiguration: keeper,
    endpoints,
    log: new DecisionLog(new SilentSink(), utils.monotonicMs),
    getListAgeMs: () => 0,
    history: new ConfigurationHistory(keeper),
    getBehindMs: () => 0,
    getOffset: () => 0,
    takeAhead: () => undefined,
    getListOffset: () => 0,
    takeList: () => undefined,
    isRegistryReached: () => true,
    getInstances: () => [],
    takeInstances: () => undefined,
  });
  return { keeper, endpoints, exchange };
}

test("an instance that the store does not serve asks one of the peers that tell it", async (t) => {
  const network = new PeerNetwork();
  const tellers = ["a", "b", "c", "d", "e"].map((name) => join(network, name));
  for (const { keeper } of tellers) {
    keeper.accept(createConfiguration(7));
    keeper.confirmFreshness(7, utils.monotonicMs());
  }
  const cutOff = join(network, "f");
  for (const { exchange } of tellers) exchange.broadcastVersion(7);
  t.true(await utils.waitUntil(() => cutOff.keeper.version === 7, patienceMs));
  t.is(network.sent.get("configuration"), 1);
});

test("an instance that the store serves meanwhile asks nobody", async (t) => {
  const network = new PeerNetwork();
  const teller = join(network, "a");
  teller.keeper.accept(createConfiguration(7));
  const served = join(network, "b");
  const cutOff = join(network, "c");
  teller.exchange.broadcastVersion(7);
  served.keeper.accept(createConfiguration(7));
  // The one that is cut off was told at the same moment: once it has asked, the other one would have asked as well.
  t.true(await utils.waitUntil(() => cutOff.keeper.version === 7, patienceMs));
  t.is(network.sent.get("configuration"), 1);
});

test("an engine that refused is known as full by the instances of the zone, and by no others", (t) => {
  const network = new PeerNetwork();
  const teller = join(network, "a");
  const near = join(network, "b");
  const far = join(network, "c", "west");
  for (const { endpoints } of [near, far]) endpoints.setAll(new Map([["e", createListed("e")]]));
  near.endpoints.get("e")?.addOwn(1, 40);
  teller.exchange.broadcastFull("e");
  t.is(near.endpoints.get("e")?.getSeenFullTokenLayers(utils.monotonicMs()), 40);
  t.is(far.endpoints.get("e")?.getSeenFullTokenLayers(utils.monotonicMs()), Number.POSITIVE_INFINITY);
});

test("a restart that one instance saw is known to all, and what is told of the life before counts no more", (t) => {
  const network = new PeerNetwork();
  const teller = join(network, "a");
  const behind = join(network, "b");
  const far = join(network, "c", "west");
  const listed = createListed("e", { bornAtMs: 1_000, layers: [{ start: 0, end: 4 }] });
  for (const { endpoints } of [teller, behind, far]) endpoints.setAll(new Map([["e", listed]]));
  teller.exchange.broadcastRestart("e", 2_000);
  for (const { endpoints } of [behind, far]) t.deepEqual(endpoints.get("e")?.listed.layers, []);
  // The teller itself has not taken note of the restart here, so what it tells is of the life before.
  teller.exchange.broadcastSuspicion("e");
  teller.exchange.broadcastSlowness("e", 5);
  teller.exchange.broadcastFull("e");
  t.false(behind.endpoints.get("e")?.isSuspect(utils.monotonicMs()));
  t.is(behind.endpoints.get("e")?.slowness, 1);
  t.is(behind.endpoints.get("e")?.getSeenFullTokenLayers(utils.monotonicMs()), Number.POSITIVE_INFINITY);
});
