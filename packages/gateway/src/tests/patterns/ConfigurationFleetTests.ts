/**
 * Guards against instances that never catch up with a large configuration of 2,200 routes (0.45 MB), of which a new version follows every
 * 1.84 s while 60 % of the instances restart. Such an instance rejected a request with "no such route" 3.4 s after a configuration with
 * this route had been acknowledged.
 *
 * If an instance requests whole configurations from two peers every 400 ms with a timeout of 400 ms, the two answers take 0.52 s on a link
 * of 14 Mbit/s, so both time out and are discarded. The repeated transfers saturate the link for five seconds, although the changes of a
 * version take a few hundred bytes, and delay the store's own answer as well. Instances then stay behind to the end of these tests, even
 * 13 s after the store is reachable again.
 */
import test from "ava";
import { ConfigurationFleet, createLargeConfiguration, type FleetInstance } from "./ConfigurationFleet.js";

/** Maximum time from the acknowledgement of a configuration until it is in force, on the current deployments. */
const boundMs = 3_000;
const zones = ["east", "west", "south"];
const smallRoutes = 25;
/** 0.45 MB. */
const largeRoutes = 221;
const firstLargeVersion = 2;
const lastVersion = 12;
const growsAtMs = 5_000;
const versionIntervalMs = 1_840;
const restartAtMs = 11_000;
const downMs = 1_500;
const endMs = growsAtMs + (lastVersion - firstLargeVersion) * versionIntervalMs + 2 * boundMs;

/** Creates a fleet whose configuration grows once and then changes periodically. */
function createFleet(routes: number, seed: number): ConfigurationFleet {
  const fleet = new ConfigurationFleet({ zones, instancesPerZone: 28, seed });
  fleet.store.write(createLargeConfiguration(1, smallRoutes));
  for (let version = firstLargeVersion; version <= lastVersion; version++) {
    fleet.clock.at(getWrittenAtMs(version), () =>
      fleet.store.write(createLargeConfiguration(version, routes)),
    );
  }
  return fleet;
}

function getWrittenAtMs(version: number): number {
  return growsAtMs + (version - firstLargeVersion) * versionIntervalMs;
}

/** Restarts 60 % of the instances at the same time. */
function restartMost(fleet: ConfigurationFleet): void {
  fleet.clock.at(restartAtMs, () => {
    const restarted = fleet.instances.filter((_instance, index) => index % 5 < 3);
    for (const { name } of restarted) fleet.kill(name);
    fleet.clock.at(restartAtMs + downMs, () => {
      for (const { name, availabilityZone } of restarted) fleet.start(name, availabilityZone);
    });
  });
}

/** Returns the longest time from the moment at which an instance could receive a version until the version was in force there. */
function getLongestMs(instances: readonly FleetInstance[], sinceMs = 0): { name: string; tookMs: number } {
  let longest = { name: "", tookMs: 0 };
  for (const instance of instances) {
    for (let version = firstLargeVersion; version <= lastVersion; version++) {
      const availableAtMs = Math.max(sinceMs, getWrittenAtMs(version), instance.startedAtMs);
      const tookMs = instance.getInForceAtMs(version) - availableAtMs;
      if (tookMs > longest.tookMs) longest = { name: instance.name, tookMs };
    }
  }
  return longest;
}

test("a large configuration reaches a zone without access to the store through peers", async (t) => {
  const fleet = createFleet(largeRoutes, 1);
  fleet.clock.at(growsAtMs - 1_000, () => fleet.withoutStore.add("east"));
  await fleet.clock.run(endMs);
  const { name, tookMs } = getLongestMs(fleet.instances);
  t.true(tookMs <= boundMs, `${tookMs} ms at ${name}`);
});

test("all instances catch up after most of them restart while a zone has no access to the store", async (t) => {
  const fleet = createFleet(largeRoutes, 1);
  const backAtMs = 16_500;
  fleet.clock.at(growsAtMs - 1_000, () => fleet.withoutStore.add("east"));
  fleet.clock.at(backAtMs, () => fleet.withoutStore.delete("east"));
  restartMost(fleet);
  await fleet.clock.run(endMs);
  const { name, tookMs } = getLongestMs(fleet.instances);
  t.true(tookMs <= boundMs, `${tookMs} ms at ${name}`);
});

test("a zone gets the newest of many large versions soon after a network partition ends", async (t) => {
  const fleet = createFleet(largeRoutes, 1);
  const healedAtMs = 16_500;
  fleet.clock.at(restartAtMs - 1_000, () => {
    fleet.withoutStore.add("east");
    fleet.network.partitionedZones.add("east");
  });
  fleet.clock.at(healedAtMs, () => {
    fleet.withoutStore.delete("east");
    fleet.network.partitionedZones.delete("east");
  });
  restartMost(fleet);
  await fleet.clock.run(endMs);
  const { name, tookMs } = getLongestMs(fleet.instances, healedAtMs);
  t.true(tookMs <= boundMs, `${tookMs} ms at ${name}`);
});
