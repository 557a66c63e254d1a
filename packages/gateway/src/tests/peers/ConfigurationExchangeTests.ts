/** What peers send each other of a configuration: changes where they are known, and a whole one to one peer at a time. */
import test from "ava";
import { utils } from "@shedtiller/common";
import { ConfigurationHistory } from "../../configuration/ConfigurationHistory.js";
import { ActiveConfiguration } from "../../configuration/ActiveConfiguration.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { ConfigurationExchange } from "../../peers/ConfigurationExchange.js";
import { createConfiguration, createRoute } from "../testData.js";
import { SilentSink } from "../SilentSink.js";
import { PeerNetwork } from "./PeerNetwork.js";

/** Past all that an instance leaves the store to give it a configuration. */
const longMs = 10_000;
/** A peer may send the next whole configuration after this. */
const betweenMs = 300;

class Fleet {
  readonly network = new PeerNetwork();
  nowMs = longMs;

  join(name: string): { keeper: ActiveConfiguration; exchange: ConfigurationExchange; ahead: number[] } {
    const nowMs = (): number => this.nowMs;
    const keeper = new ActiveConfiguration(nowMs);
    const ahead: number[] = [];
    const exchange = new ConfigurationExchange({
      membership: this.network.join({ name, availabilityZone: "east" }),
      activeConfiguration: keeper,
      history: new ConfigurationHistory(keeper),
      log: new DecisionLog(new SilentSink(), nowMs),
      getBehindMs: () => 0,
      getOffset: () => 7,
      takeAhead: (nextOffset) => void ahead.push(nextOffset),
      broadcastToZone: () => undefined,
      nowMs,
      pause: utils.yieldToEvents,
      random: () => 0,
    });
    this.nowMs += longMs;
    return { keeper, exchange, ahead };
  }

  /** Lets what was sent arrive. */
  async settle(): Promise<void> {
    for (let turn = 0; turn < 3; turn++) await utils.yieldToEvents();
  }
}

const routes = [createRoute(), createRoute({ name: "s", pathPrefix: "/b/" })];

test("an instance that knows an older version gets what changed, with the proof and the place in the store's history", async (t) => {
  const fleet = new Fleet();
  const newer = fleet.join("a");
  const older = fleet.join("b");
  for (const { keeper } of [newer, older]) keeper.accept(createConfiguration(1));
  newer.keeper.accept(createConfiguration(2, routes));
  newer.keeper.confirmFreshness(2, fleet.nowMs);
  await older.exchange.ask("a");
  t.is(older.keeper.version, 2);
  t.truthy(older.keeper.table?.getRoute("notes.example", "/b/x"));
  t.is(older.keeper.getFreshnessAgeMs(), 0);
  t.deepEqual(older.ahead, [7]);
  t.is(fleet.network.sent.get("whole-configuration"), undefined);
});

test("a peer sends a whole configuration to one instance at a time", async (t) => {
  const fleet = new Fleet();
  const holder = fleet.join("a");
  holder.keeper.accept(createConfiguration(2, routes));
  const first = fleet.join("b");
  const second = fleet.join("c");
  await Promise.all([first.exchange.ask("a"), second.exchange.ask("a")]);
  await fleet.settle();
  t.deepEqual([first.keeper.version, second.keeper.version], [2, -1]);
  fleet.nowMs += betweenMs;
  await second.exchange.ask("a");
  await fleet.settle();
  t.is(second.keeper.version, 2);
});

test("while a whole configuration is expected from one peer, no other is asked for it", async (t) => {
  const fleet = new Fleet();
  const holders = ["a", "b"].map((name) => fleet.join(name));
  for (const { keeper } of holders) keeper.accept(createConfiguration(2, routes));
  const empty = fleet.join("c");
  fleet.network.silence("c");
  await empty.exchange.ask("a");
  await empty.exchange.ask("b");
  await fleet.settle();
  t.is(empty.keeper.version, -1);
  fleet.network.restore("c");
  await empty.exchange.ask("b");
  await fleet.settle();
  t.is(empty.keeper.version, -1, "the one that was sent may still come");
  fleet.nowMs += longMs;
  await empty.exchange.ask("b");
  await fleet.settle();
  t.is(empty.keeper.version, 2);
});
