/** Guards against zones that are overloaded beside others with capacity, and against shares that swing with the age of the figures. */
import test from "ava";
import { ZoneFlowFleet, zones, type Zone } from "./ZoneFlowFleet.js";

const periodMs = 15_000;
const swing = 0.55;
const settleMs = 6_000;

/** Waves of demand, each of which peaks `shift` of a period after that of the previous zone. */
function createWaves(mean: number, shift: number): (zone: Zone, nowMs: number) => number {
  return (zone, nowMs) =>
    mean * (1 + swing * Math.sin(2 * Math.PI * (nowMs / periodMs - zones.indexOf(zone) * shift)));
}

function sumOverload(utilizations: readonly number[]): number {
  return utilizations.reduce((sum, utilization) => sum + Math.max(0, utilization - 1), 0);
}

/** Returns how often a series turns around by more than `amplitude`. */
function countTurns(series: readonly number[], amplitude: number): number {
  let turns = 0;
  let direction = 0;
  let [extreme = 0] = series;
  for (const value of series) {
    const change = value - extreme;
    if (direction !== 0 && change * direction > 0) extreme = value;
    if (Math.abs(change) <= amplitude || Math.sign(change) === direction) continue;
    if (direction !== 0) turns += 1;
    direction = Math.sign(change);
    extreme = value;
  }
  return turns;
}

// While each zone keeps its requests as long as its chains cost 200 ms less, the peaks overload one zone after the other by a quarter.
test("waves that peak one after the other hardly overload any zone, and move requests twice in a period", (t) => {
  const demand = createWaves(0.8, 1 / 3);
  const fleet = new ZoneFlowFleet(demand);
  fleet.run(settleMs);
  const periods = 4;
  const shares: number[] = [];
  const utilizations: number[] = [];
  const demands: number[] = [];
  fleet.run(periods * periodMs, () => {
    shares.push(fleet.getAwayShare("east"));
    utilizations.push(...zones.map((zone) => fleet.getUtilization(zone)));
    demands.push(...zones.map((zone) => demand(zone, fleet.nowMs)));
  });
  t.true(Math.max(...demands) > 1.2, `${Math.max(...demands)} of the capacity without flows`);
  t.true(Math.max(...utilizations) < 1.15, `${Math.max(...utilizations)} of the capacity`);
  const [overload, overloadAlone] = [sumOverload(utilizations), sumOverload(demands)];
  t.true(overload < overloadAlone / 5, `${overload} beyond the capacity, ${overloadAlone} without flows`);
  t.true(countTurns(shares, 0.1) <= 2 * periods, `${countTurns(shares, 0.1)} turns`);
});

test("waves that peak together move hardly any requests, since no zone has more capacity than the others", (t) => {
  const fleet = new ZoneFlowFleet(createWaves(0.8, 0));
  fleet.run(settleMs);
  let highest = 0;
  fleet.run(
    4 * periodMs,
    () => (highest = Math.max(highest, ...zones.map((zone) => fleet.getAwayShare(zone)))),
  );
  t.true(highest < 0.15, `${highest} of the requests`);
});

test("a burst in one zone flows to the others until it ends", (t) => {
  const burstMs = 20_000;
  const fleet = new ZoneFlowFleet((zone, nowMs) => (zone === "east" && nowMs < burstMs ? 1.6 : 0.4));
  fleet.run(burstMs);
  t.true(fleet.getUtilization("east") < 1.05, `${fleet.getUtilization("east")} of the capacity`);
  t.true(fleet.getShare("east", "west") > 0.1 && fleet.getShare("east", "north") > 0.1);
  t.is(fleet.getAwayShare("west"), 0);
  fleet.run(settleMs * 2);
  t.is(fleet.getAwayShare("east"), 0, "all requests are at home again");
});

test("under light load every request stays at home, and nothing is decided", (t) => {
  const fleet = new ZoneFlowFleet(createWaves(0.4, 1 / 3));
  fleet.run(4 * periodMs);
  for (const zone of zones) t.is(fleet.getAwayShare(zone), 0);
  t.is(fleet.changes, 0);
});

function createBurst(): ZoneFlowFleet {
  const fleet = new ZoneFlowFleet((zone) => (zone === "east" ? 1.6 : 0.4));
  fleet.run(settleMs * 2);
  return fleet;
}

test("operators see the shares of a zone, and none once they are too old", (t) => {
  const fleet = createBurst();
  const { flows } = fleet.instances.find(({ zone }) => zone === "east") ?? {};
  const entries = flows?.getPressure() ?? [];
  t.deepEqual(entries.map(({ decision, subject }) => `${decision} ${subject}`).sort(), [
    "zoneFlows north",
    "zoneFlows west",
  ]);
  fleet.nowMs += 2_001;
  t.deepEqual(flows?.getPressure(), []);
});

test("the engines of a lost zone get nothing from the next decision on", (t) => {
  const fleet = createBurst();
  t.true(fleet.getShare("east", "west") > 0);
  fleet.loseEngines("west");
  fleet.run(400);
  t.is(fleet.getShare("east", "west"), 0);
  t.true(fleet.getShare("east", "north") > 0);
});

test("a partition between zones ends the flows between them, and keeps the others", (t) => {
  const fleet = createBurst();
  fleet.network.cutZone("west");
  fleet.run(3_000);
  t.is(fleet.getShare("east", "west"), 0);
  t.true(fleet.getShare("east", "north") > 0.1);
});

test("without a collector the shares hold for two seconds, and a new collector continues from them", (t) => {
  const fleet = createBurst();
  const share = fleet.getAwayShare("east");
  fleet.stopCollector("east");
  let lowest = share;
  fleet.run(settleMs, () => (lowest = Math.min(lowest, fleet.getAwayShare("east"))));
  t.true(lowest > share - 0.15, `${lowest} instead of ${share}`);
});

test("an instance without news for longer uses the usual costs", (t) => {
  const fleet = createBurst();
  const { name = "" } = fleet.instances.findLast(({ zone }) => zone === "east") ?? {};
  fleet.network.silence(name);
  fleet.nowMs += 2_001;
  t.is(fleet.getAwayShare("east"), 0);
});

test("after a restart of all no share is known, and every request stays at home", (t) => {
  const fleet = new ZoneFlowFleet(() => 2);
  for (const zone of zones) t.is(fleet.getAwayShare(zone), 0);
  fleet.run(200);
  for (const zone of zones) t.is(fleet.getAwayShare(zone), 0);
});
