/**
 * Guards against several requests that crash engines at the same time, of which the conviction of one releases the others, since their
 * runs were at the engines that it crashed.
 *
 * Each of them may crash three engines; three arrivals are allowed later than three seconds after its own third crash. From then on other
 * requests are served like before, also one that many callers send.
 */
import test from "ava";
import { CrashingFleet } from "./CrashingFleet.js";
import { SimulatedClock } from "./SimulatedClock.js";

const reportingMs = 3_000;
const countedCrashes = 3;
const allowedLateArrivals = 3;
/** Lowest share of sound requests that are served at the first attempt of their caller once the crashing ones are known. */
const minServedShare = 0.97;
const startMs = 4_000;
const endMs = 30_000;
const knownMs = 20_000;
const popularShare = 0.1;

interface Play {
  readonly crashing: number;
  readonly intervalMs: number;
  readonly instances: number;
  readonly engines: number;
  readonly soundPerSecond: number;
  readonly firstEngines: number;
}

const plays: readonly Play[] = [
  { crashing: 2, intervalMs: 250, instances: 8, engines: 24, soundPerSecond: 0, firstEngines: 3 },
  { crashing: 2, intervalMs: 700, instances: 8, engines: 24, soundPerSecond: 83, firstEngines: 3 },
  { crashing: 3, intervalMs: 250, instances: 4, engines: 24, soundPerSecond: 0, firstEngines: 3 },
  { crashing: 3, intervalMs: 1_000, instances: 8, engines: 24, soundPerSecond: 83, firstEngines: 3 },
  { crashing: 4, intervalMs: 250, instances: 8, engines: 33, soundPerSecond: 0, firstEngines: 3 },
  { crashing: 4, intervalMs: 1_300, instances: 4, engines: 24, soundPerSecond: 30, firstEngines: 2 },
  { crashing: 5, intervalMs: 500, instances: 8, engines: 33, soundPerSecond: 83, firstEngines: 3 },
];
const seeds = [1, 2, 3, 4];

for (const { crashing, intervalMs, soundPerSecond, ...sizes } of plays) {
  test(`${crashing} requests that crash engines are quarantined, each sent every ${intervalMs} ms to one of ${sizes.instances} instances`, async (t) => {
    for (const seed of seeds) {
      const clock = new SimulatedClock();
      const fleet = new CrashingFleet(clock, { ...sizes, seed });
      let sent = 0;
      let served = 0;
      const sendSound = async (index: number): Promise<void> => {
        const digest = (index * popularShare) % 1 < popularShare ? "popular" : `sound-${index}`;
        const isCounted = clock.nowMs() > knownMs;
        if (isCounted) sent += 1;
        if ((await fleet.send({ digest, isCrashing: false })) === "served" && isCounted) served += 1;
      };
      for (let index = 0; index < (soundPerSecond * endMs) / 1_000; index++)
        clock.at((index * 1_000) / soundPerSecond, () => void sendSound(index));
      const digests = Array.from({ length: crashing }, (_, index) => `crashing-${index}`);
      for (const [index, digest] of digests.entries())
        for (let atMs = startMs + index * 37; atMs < endMs; atMs += intervalMs)
          clock.at(atMs, () => void fleet.send({ digest, isCrashing: true }));
      await clock.run(endMs + 6_000);
      const getCrashes = (digest: string): readonly number[] => fleet.crashesAtMs.get(digest) ?? [];
      const late = digests.map((digest) => {
        const countedMs = getCrashes(digest)[countedCrashes - 1] ?? Number.POSITIVE_INFINITY;
        const arrivals = fleet.crashingArrivalsAtMs.get(digest) ?? [];
        return arrivals.filter((atMs) => atMs > countedMs + reportingMs).length;
      });
      const crashes = digests.map((digest) => getCrashes(digest).length);
      t.log(
        `seed ${seed}: ${crashes.join(", ")} crashes, ${late.join(", ")} late; ${served} of ${sent} others served`,
      );
      t.true(Math.max(...late) <= allowedLateArrivals, `seed ${seed}: ${late.join(", ")} late`);
      t.true(served >= minServedShare * sent, `seed ${seed}: ${served} of ${sent} others served`);
    }
  });
}
