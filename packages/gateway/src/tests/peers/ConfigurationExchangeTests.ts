/** Tests what peers send each other of a configuration: a delta where possible, and otherwise the whole one to one peer at a time. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { ConfigurationExchange } from "../../peers/ConfigurationExchange.js";
import { createConfiguration, createRoute } from "../testData.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { PeerNetwork } from "./PeerNetwork.js";

/** Exceeds all delays for which an instance waits for the store before it requests a configuration from peers. */
const longMs = 10_000;
/** Time after which a peer may send the next whole configuration. */
const wholeIntervalMs = 300;

class Fleet {
  readonly network = new PeerNetwork();
  nowMs = longMs;

  join(name: string): {
    activeConfiguration: ActiveConfiguration;
    exchange: ConfigurationExchange;
    advancedTo: number[];
  } {
    const nowMs = (): number => this.nowMs;
    const activeConfiguration = new ActiveConfiguration(nowMs);
    const advancedTo: number[] = [];
    const exchange = new ConfigurationExchange({
      membership: this.network.join({ name, availabilityZone: "east" }),
      activeConfiguration,
      history: new ConfigurationHistory(activeConfiguration),
      log: new DecisionLog(new SilentLogOutput(), nowMs),
      getBehindMs: () => 0,
      getConfigurationOffset: () => 7,
      advanceTo: (nextOffset) => void advancedTo.push(nextOffset),
      broadcastToZone: () => undefined,
      nowMs,
      pause: utils.yieldToEvents,
      random: () => 0,
    });
    this.nowMs += longMs;
    return { activeConfiguration, exchange, advancedTo };
  }

  /** Waits until the sent messages have been delivered. */
  async waitForDelivery(): Promise<void> {
    for (let turn = 0; turn < 3; turn++) await utils.yieldToEvents();
  }
}

const routes = [createRoute(), createRoute({ name: "s", pathPrefix: "/b/" })];

test("an instance with an older version receives a delta, the freshness and the store's offset", async (t) => {
  const fleet = new Fleet();
  const newer = fleet.join("a");
  const older = fleet.join("b");
  for (const { activeConfiguration } of [newer, older]) activeConfiguration.accept(createConfiguration(1));
  newer.activeConfiguration.accept(createConfiguration(2, routes));
  newer.activeConfiguration.confirmFreshness(2, fleet.nowMs);
  await older.exchange.requestFrom("a");
  t.is(older.activeConfiguration.version, 2);
  t.truthy(older.activeConfiguration.table?.getRoute("notes.example", "/b/x"));
  t.is(older.activeConfiguration.getFreshnessAgeMs(), 0);
  t.deepEqual(older.advancedTo, [7]);
  t.is(fleet.network.sent.get("whole-configuration"), undefined);
});

test("a peer sends a whole configuration to one instance at a time", async (t) => {
  const fleet = new Fleet();
  const holder = fleet.join("a");
  holder.activeConfiguration.accept(createConfiguration(2, routes));
  const first = fleet.join("b");
  const second = fleet.join("c");
  await Promise.all([first.exchange.requestFrom("a"), second.exchange.requestFrom("a")]);
  await fleet.waitForDelivery();
  t.deepEqual([first.activeConfiguration.version, second.activeConfiguration.version], [2, -1]);
  fleet.nowMs += wholeIntervalMs;
  await second.exchange.requestFrom("a");
  await fleet.waitForDelivery();
  t.is(second.activeConfiguration.version, 2);
});

test("while a whole configuration is expected from one peer, none is requested from another", async (t) => {
  const fleet = new Fleet();
  const holders = ["a", "b"].map((name) => fleet.join(name));
  for (const { activeConfiguration } of holders) activeConfiguration.accept(createConfiguration(2, routes));
  const empty = fleet.join("c");
  fleet.network.silence("c");
  await empty.exchange.requestFrom("a");
  await empty.exchange.requestFrom("b");
  await fleet.waitForDelivery();
  t.is(empty.activeConfiguration.version, -1);
  fleet.network.restore("c");
  await empty.exchange.requestFrom("b");
  await fleet.waitForDelivery();
  t.is(empty.activeConfiguration.version, -1, "the first whole configuration may still arrive");
  fleet.nowMs += longMs;
  await empty.exchange.requestFrom("b");
  await fleet.waitForDelivery();
  t.is(empty.activeConfiguration.version, 2);
});

// Guards against a peer that passes on a version out of an answer that was cut off as the newest one.
test("a version that a peer has without confirmation brings only the freshness that the peer had before", async (t) => {
  const fleet = new Fleet();
  const newer = fleet.join("a");
  const older = fleet.join("b");
  for (const { activeConfiguration } of [newer, older]) activeConfiguration.accept(createConfiguration(1));
  newer.activeConfiguration.confirmFreshness(1, fleet.nowMs);
  fleet.nowMs += longMs;
  newer.activeConfiguration.accept(createConfiguration(2, routes));
  await older.exchange.requestFrom("a");
  t.is(older.activeConfiguration.version, 2);
  t.is(older.activeConfiguration.getFreshnessAgeMs(), longMs);
});
