/**
 * Incident: an instance refused a route with "no such route", 3.4 s after a configuration that has it was acknowledged.
 * Seen: a configuration had grown to 2,200 routes (0.45 MB), a version of it followed each 1.84 s, and six in ten instances had just been
 * restarted. Links of 14 Mbit/s were full for five seconds, while what each version changed takes some hundred bytes.
 * How it came about: an instance that is behind asked two peers for the whole configuration every 400 ms and waited 400 ms for each. Over
 * one link the two answers take 0.52 s, so both came too late and were thrown away, and the next two stood behind them. The store's own
 * answer had to share that link.
 * Cause: answers that take longer than the time they are waited for, asked for again and again; what was sent in vain kept the link full.
 * Proof: the tests below, in which instances stayed behind for as long as they were watched, also 13 s after the store had come back.
 */
import test from "ava";
import { ConfigurationFleet, createLargeConfiguration, type FleetInstance } from "./ConfigurationFleet.js";

/** Within this of its acknowledgement a configuration has to be in force, on the deployments at hand. */
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

/** A fleet whose configuration grows and then changes again and again. */
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

/** Restarts three in five instances at one moment. */
function restartMost(fleet: ConfigurationFleet): void {
  fleet.clock.at(restartAtMs, () => {
    const restarted = fleet.instances.filter((_instance, index) => index % 5 < 3);
    for (const { name } of restarted) fleet.kill(name);
    fleet.clock.at(restartAtMs + downMs, () => {
      for (const { name, availabilityZone } of restarted) fleet.start(name, availabilityZone);
    });
  });
}

/** The longest time from when an instance could know a version until it was in force there. */
function getLongestMs(instances: readonly FleetInstance[], sinceMs = 0): { name: string; tookMs: number } {
  let longest = { name: "", tookMs: 0 };
  for (const instance of instances) {
    for (let version = firstLargeVersion; version <= lastVersion; version++) {
      const knowableAtMs = Math.max(sinceMs, getWrittenAtMs(version), instance.startedAtMs);
      const tookMs = instance.getInForceAtMs(version) - knowableAtMs;
      if (tookMs > longest.tookMs) longest = { name: instance.name, tookMs };
    }
  }
  return longest;
}

test("a large configuration reaches a zone that the store turns away through its peers", async (t) => {
  const fleet = createFleet(largeRoutes, 1);
  fleet.clock.at(growsAtMs - 1_000, () => fleet.withoutStore.add("east"));
  await fleet.clock.run(endMs);
  const { name, tookMs } = getLongestMs(fleet.instances);
  t.true(tookMs <= boundMs, `${tookMs} ms at ${name}`);
});

test("after a restart of most instances while the store turns a zone away, none stays behind", async (t) => {
  const fleet = createFleet(largeRoutes, 1);
  const backAtMs = 16_500;
  fleet.clock.at(growsAtMs - 1_000, () => fleet.withoutStore.add("east"));
  fleet.clock.at(backAtMs, () => fleet.withoutStore.delete("east"));
  restartMost(fleet);
  await fleet.clock.run(endMs);
  const { name, tookMs } = getLongestMs(fleet.instances);
  t.true(tookMs <= boundMs, `${tookMs} ms at ${name}`);
});

test("a zone that was cut off has the newest of many large versions soon after it is reached again", async (t) => {
  const fleet = createFleet(largeRoutes, 1);
  const healedAtMs = 16_500;
  fleet.clock.at(restartAtMs - 1_000, () => {
    fleet.withoutStore.add("east");
    fleet.network.cutOff.add("east");
  });
  fleet.clock.at(healedAtMs, () => {
    fleet.withoutStore.delete("east");
    fleet.network.cutOff.delete("east");
  });
  restartMost(fleet);
  await fleet.clock.run(endMs);
  const { name, tookMs } = getLongestMs(fleet.instances, healedAtMs);
  t.true(tookMs <= boundMs, `${tookMs} ms at ${name}`);
});
