/** A new version is told to all, but each takes the large body from one place only. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { ConfigurationKeeper } from "../../configuration/ConfigurationKeeper.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { PeerExchange } from "../../peers/PeerExchange.js";
import { createConfiguration } from "../createParts.js";
import { SilentSink } from "../SilentSink.js";
import { PeerNetwork } from "./PeerNetwork.js";

const patienceMs = 60_000;

function join(network: PeerNetwork, name: string): { keeper: ConfigurationKeeper; exchange: PeerExchange } {
  const keeper = new ConfigurationKeeper();
  const exchange = new PeerExchange({
    membership: network.join({ name, availabilityZone: "east" }),
    keeper,
    endpoints: new EndpointTable(),
    log: new DecisionLog(new SilentSink(), utils.monotonicMs),
    getListAgeMs: () => 0,
    getConfigurationBehindMs: () => 0,
    getListOffset: () => 0,
    takeList: () => undefined,
    getInstances: () => [],
    takeInstances: () => undefined,
  });
  return { keeper, exchange };
}

test("an instance that the store does not serve asks one of the peers that tell it", async (t) => {
  const network = new PeerNetwork();
  const tellers = ["a", "b", "c", "d", "e"].map((name) => join(network, name));
  for (const { keeper } of tellers) {
    keeper.accept(createConfiguration(7));
    keeper.confirm(7, utils.monotonicMs());
  }
  const cutOff = join(network, "f");
  for (const { exchange } of tellers) exchange.tellVersion(7);
  t.true(await utils.waitUntil(() => cutOff.keeper.version === 7, patienceMs));
  t.is(network.sent.get("configuration"), 1);
});

test("an instance that the store serves meanwhile asks nobody", async (t) => {
  const network = new PeerNetwork();
  const teller = join(network, "a");
  teller.keeper.accept(createConfiguration(7));
  const served = join(network, "b");
  const cutOff = join(network, "c");
  teller.exchange.tellVersion(7);
  served.keeper.accept(createConfiguration(7));
  // The one that is cut off was told at the same moment: once it has asked, the other one would have asked as well.
  t.true(await utils.waitUntil(() => cutOff.keeper.version === 7, patienceMs));
  t.is(network.sent.get("configuration"), 1);
});
