/** Tests that notices reach the peers that need them, and that an instance requests a new configuration from one peer only. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { PeerExchange } from "../../peers/PeerExchange.js";
import { createConfiguration, createListed } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { PeerNetwork } from "./PeerNetwork.js";

const timeoutMs = 60_000;

interface Joined {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly exchange: PeerExchange;
}

function join(
  network: PeerNetwork,
  name: string,
  availabilityZone = "east",
  nowMs = utils.monotonicMs,
): Joined {
  const activeConfiguration = new ActiveConfiguration(nowMs);
  const endpoints = new EndpointTable();
  const exchange = new PeerExchange({
    membership: network.join({ name, availabilityZone }),
    activeConfiguration,
    endpoints,
    log: new DecisionLog(new SilentLogOutput(), utils.monotonicMs),
    getEndpointListAgeMs: () => 0,
    history: new ConfigurationHistory(activeConfiguration),
    getBehindMs: () => 0,
    getConfigurationOffset: () => 0,
    advanceTo: () => undefined,
    getEndpointListOffset: () => 0,
    applyEndpointList: () => undefined,
    isRegistryReached: () => true,
    getInstances: () => [],
    addInstances: () => undefined,
    nowMs,
  });
  return { activeConfiguration, endpoints, exchange };
}

test("an instance that the store does not serve sends a request to only one of the peers that announce a version", async (t) => {
  const network = new PeerNetwork();
  const senders = ["a", "b", "c", "d", "e"].map((name) => join(network, name));
  for (const { activeConfiguration } of senders) {
    activeConfiguration.accept(createConfiguration(7));
    activeConfiguration.confirmFreshness(7, utils.monotonicMs());
  }
  const cutOff = join(network, "f");
  for (const { exchange } of senders) exchange.broadcastVersion(7);
  t.true(await utils.waitUntil(() => cutOff.activeConfiguration.version === 7, timeoutMs));
  t.is(network.sent.get("configuration"), 1);
});

test("an instance that the store serves in the meantime sends no request", async (t) => {
  const network = new PeerNetwork();
  const sender = join(network, "a");
  sender.activeConfiguration.accept(createConfiguration(7));
  const served = join(network, "b");
  const cutOff = join(network, "c");
  sender.exchange.broadcastVersion(7);
  served.activeConfiguration.accept(createConfiguration(7));
  // Both instances received the announcement at the same moment: once the cut-off one has sent its request, the other one would have too.
  t.true(await utils.waitUntil(() => cutOff.activeConfiguration.version === 7, timeoutMs));
  t.is(network.sent.get("configuration"), 1);
});

test("an engine that rejected a request counts as full at the instances of the zone, and at no others", (t) => {
  const network = new PeerNetwork();
  const sender = join(network, "a");
  const near = join(network, "b");
  const far = join(network, "c", "west");
  for (const { endpoints } of [near, far]) endpoints.setAll(new Map([["e", createListed("e")]]));
  near.endpoints.get("e")?.addOwnLoad(1, 40);
  sender.exchange.broadcastFull("e");
  t.is(near.endpoints.get("e")?.getObservedCapacityTokenLayers(utils.monotonicMs()), 40);
  t.is(far.endpoints.get("e")?.getObservedCapacityTokenLayers(utils.monotonicMs()), Number.POSITIVE_INFINITY);
});

test("a restart that one instance has seen reaches all instances, and notices about the previous life are ignored", (t) => {
  const network = new PeerNetwork();
  const sender = join(network, "a");
  const behind = join(network, "b");
  const far = join(network, "c", "west");
  const listed = createListed("e", { bornAtMs: 1_000, layers: [{ start: 0, end: 4 }] });
  for (const { endpoints } of [sender, behind, far]) endpoints.setAll(new Map([["e", listed]]));
  sender.exchange.broadcastRestart("e", 2_000);
  for (const { endpoints } of [behind, far]) t.deepEqual(endpoints.get("e")?.listed.layers, []);
  // The sender itself has not recorded the restart in this test, so its notices are about the previous life.
  sender.exchange.broadcastSuspicion("e", "unanswered");
  sender.exchange.broadcastSlowness("e", 5);
  sender.exchange.broadcastFull("e");
  t.false(behind.endpoints.get("e")?.isSuspect(utils.monotonicMs()));
  t.is(behind.endpoints.get("e")?.slowness, 1);
  t.is(
    behind.endpoints.get("e")?.getObservedCapacityTokenLayers(utils.monotonicMs()),
    Number.POSITIVE_INFINITY,
  );
});

test("peers learn by which evidence an engine is suspected, and when it becomes stronger", (t) => {
  const network = new PeerNetwork();
  const sender = join(network, "a");
  const far = join(network, "c", "west");
  for (const { endpoints } of [sender, far]) endpoints.setAll(new Map([["e", createListed("e")]]));
  sender.exchange.broadcastSuspicion("e", "unanswered");
  t.is(far.endpoints.get("e")?.evidence, "unanswered");
  sender.exchange.broadcastSuspicion("e", "lost");
  t.is(far.endpoints.get("e")?.evidence, "lost");
});

// Guards against an instance that takes an engine for empty for good, since a report from before the engine's entry arrived after it.
test("layers that a peer has read in a report replace those that it knew, but not those of another entry", (t) => {
  const network = new PeerNetwork();
  const sender = join(network, "a");
  const behind = join(network, "b");
  const ahead = join(network, "c");
  const [older, newer] = [[{ start: 0, end: 4 }], [{ start: 2, end: 4 }]];
  for (const { endpoints } of [sender, behind])
    endpoints.setAll(new Map([["e", createListed("e", { layers: older })]]));
  ahead.endpoints.setAll(new Map([["e", createListed("e", { layers: newer })]]));
  sender.exchange.broadcastLayers("e", [], older);
  t.deepEqual(behind.endpoints.get("e")?.listed.layers, []);
  t.deepEqual(ahead.endpoints.get("e")?.listed.layers, newer);
});

// Guards against an instance that refuses all keys after the end of a cut until its next round of requests, and that asks all peers at once.
test("an instance whose configuration is outdated asks two of the peers that are linked again", async (t) => {
  const network = new PeerNetwork();
  const clock = { nowMs: 0 };
  const joined = ["a", "b", "c", "d"].map((name) => join(network, name, "east", () => clock.nowMs));
  for (const { activeConfiguration } of joined) {
    activeConfiguration.accept(createConfiguration(7));
    activeConfiguration.confirmFreshness(7, clock.nowMs);
  }
  network.relink("d");
  await utils.yieldToEvents();
  t.is(network.sent.get("configuration"), undefined, "while the configuration is fresh");
  clock.nowMs += 10_000;
  for (const { activeConfiguration } of joined.slice(0, -1))
    activeConfiguration.confirmFreshness(7, clock.nowMs - 500);
  network.relink("d");
  await utils.yieldToEvents();
  t.is(network.sent.get("configuration"), 2);
  t.is(joined.at(-1)?.activeConfiguration.getFreshnessAgeMs(), 500);
});
