/**
 * Guards against requests that crash one engine after the other when callers repeat them at any instance, and against the quarantine of
 * sound requests while engines crash for other reasons, alone and in groups of seven.
 *
 * A request may crash three engines. After that, three arrivals are allowed until the crash reports have reached all instances, which
 * takes up to 3 s; a fourth crash is possible if a run is in flight when the third one becomes known. Each of twenty requests sent at the
 * same time may crash an engine before the first report, and at most three more crashes are allowed. No other request is quarantined.
 */
import test from "ava";
import { CrashingFleet } from "./CrashingFleet.js";
import { SimulatedClock } from "./SimulatedClock.js";

const reportingMs = 3_000;
const allowedCrashes = 3;
const allowedLateArrivals = 3;
const maxCrashes = 4;
const repeatMs = 250;
const crashing = { digest: "crashing", isCrashing: true };

/** Sends sound requests, all of them different, at a constant rate. */
function sendSound(fleet: CrashingFleet, clock: SimulatedClock, perSecond: number, durationMs: number): void {
  const startMs = clock.nowMs();
  for (let sent = 0; sent < (perSecond * durationMs) / 1_000; sent++) {
    clock.at(startMs + (sent * 1_000) / perSecond, () => {
      void fleet.send({ digest: `sound-${sent}`, isCrashing: false });
    });
  }
}

function getCrashes(fleet: CrashingFleet): readonly number[] {
  return fleet.crashesAtMs.get(crashing.digest) ?? [];
}

/** Returns the number of arrivals of the crashing request later than `reportingMs` after its third crash. */
function countLateArrivals(fleet: CrashingFleet): number {
  const thirdMs = getCrashes(fleet)[allowedCrashes - 1] ?? Number.POSITIVE_INFINITY;
  return fleet.arrivalsAtMs.filter((atMs) => atMs > thirdMs + reportingMs).length;
}

for (const seed of [1, 2, 3, 4, 5]) {
  // Guards against a successful end that clears a request although its engine crashes right after it.
  test(`a crashing request is quarantined even if its runs often complete before their engines crash (seed ${seed})`, async (t) => {
    const clock = new SimulatedClock();
    const fleet = new CrashingFleet(clock, { instances: 4, engines: 24, seed });
    sendSound(fleet, clock, 100, 25_000);
    const repeat = async (): Promise<void> => {
      while (clock.nowMs() < 25_000) {
        await fleet.send({ ...crashing, endsWithinMs: 90 });
        await clock.sleep(repeatMs);
      }
    };
    clock.at(2_000, () => void repeat());
    await clock.run(30_000);
    t.true(countLateArrivals(fleet) <= allowedLateArrivals, `${countLateArrivals(fleet)} late arrivals`);
    t.deepEqual([...fleet.quarantined], [crashing.digest]);
  });
}

for (const seed of [1, 2, 3]) {
  test(`a repeated crashing request crashes at most four engines, and no other request is quarantined (seed ${seed})`, async (t) => {
    const clock = new SimulatedClock();
    const fleet = new CrashingFleet(clock, { instances: 8, engines: 33, seed });
    sendSound(fleet, clock, 300, 25_000);
    const end = { atMs: 25_000 };
    const repeat = async (): Promise<void> => {
      while (clock.nowMs() < end.atMs) {
        await fleet.send(crashing);
        await clock.sleep(repeatMs);
      }
    };
    clock.at(2_000, () => void repeat());
    await clock.run(30_000);
    t.true(
      getCrashes(fleet).length <= maxCrashes,
      `${getCrashes(fleet).length} crashes, including the trial after the first quarantine`,
    );
    t.true(countLateArrivals(fleet) <= 1, "the one trial");
    t.deepEqual([...fleet.quarantined], [crashing.digest]);
  });
}

for (const [instances, engines] of [
  [85, 99],
  [195, 190],
] as const) {
  test(`twenty simultaneous crashing requests at ${instances} instances crash at most one engine each, and three more including the trial`, async (t) => {
    const clock = new SimulatedClock();
    const fleet = new CrashingFleet(clock, { instances, engines, seed: instances });
    const callers = 20;
    clock.at(1_000, () => {
      for (let caller = 0; caller < callers; caller++) void fleet.send(crashing);
    });
    for (let repeat = 1; repeat <= 20; repeat++) {
      clock.at(1_000 + repeat * repeatMs, () => void fleet.send(crashing));
    }
    await clock.run(15_000);
    t.true(getCrashes(fleet).length <= callers + allowedCrashes, `${getCrashes(fleet).length} crashes`);
    t.true(countLateArrivals(fleet) <= 1, "the one trial");
    t.true(
      Array.from({ length: instances }, (_, index) => fleet.isQuarantinedAt(index, crashing.digest)).every(
        Boolean,
      ),
      "every instance has received the reports",
    );
  });
}

for (const seed of [11, 12, 13]) {
  test(`no request is quarantined for unrelated crashes of engines, not even one that all callers send (seed ${seed})`, async (t) => {
    const clock = new SimulatedClock();
    const fleet = new CrashingFleet(clock, { instances: 8, engines: 33, seed });
    sendSound(fleet, clock, 600, 30_000);
    for (let sent = 0; sent < 600; sent++) {
      clock.at(sent * 50, () => void fleet.send({ digest: "sent by all", isCrashing: false }));
    }
    for (const atMs of [5_000, 15_000, 25_000]) clock.at(atMs, () => fleet.crashRandomEngines(7));
    for (let atMs = 1_000; atMs < 30_000; atMs += 700) clock.at(atMs, () => fleet.crashRandomEngines(1));
    await clock.run(40_000);
    t.deepEqual([...fleet.quarantined], []);
  });
}

test("an instance receives the crash reports immediately after a partition, before it sends the crashing request", async (t) => {
  const clock = new SimulatedClock();
  const fleet = new CrashingFleet(clock, { instances: 8, engines: 33, seed: 5 });
  fleet.setPartitioned(0, true);
  clock.at(1_000, () => void fleet.send(crashing, 1));
  await clock.run(5_000);
  t.is(getCrashes(fleet).length, allowedCrashes);
  t.false(fleet.isQuarantinedAt(0, crashing.digest));
  fleet.setPartitioned(0, false);
  clock.at(clock.nowMs() + 5, () => void fleet.send(crashing, 0));
  await clock.run(10_000);
  t.true(fleet.isQuarantinedAt(0, crashing.digest));
  t.true(getCrashes(fleet).length <= maxCrashes, "the trial at most");
  t.true(countLateArrivals(fleet) <= allowedLateArrivals);
});

for (const seed of [21, 22, 23]) {
  test(`if all callers send one of two sound requests, neither is quarantined, even if all engines crash together repeatedly (seed ${seed})`, async (t) => {
    const clock = new SimulatedClock();
    const fleet = new CrashingFleet(clock, { instances: 4, engines: 6, seed });
    for (let sent = 0; sent < 800; sent++) {
      clock.at(sent * 30, () => void fleet.send({ digest: `sent by all ${sent % 2}`, isCrashing: false }));
    }
    for (let atMs = 4_000; atMs < 24_000; atMs += repeatMs) clock.at(atMs, () => void fleet.send(crashing));
    for (const atMs of [4_500, 9_000, 16_000, 20_200, 24_400])
      clock.at(atMs, () => fleet.crashRandomEngines(6));
    await clock.run(40_000);
    t.deepEqual([...fleet.quarantined], [crashing.digest]);
    t.true(countLateArrivals(fleet) <= allowedLateArrivals, `${countLateArrivals(fleet)} arrivals`);
  });
}

for (const seed of [31, 32, 33]) {
  test(`before any run has completed, sound requests are distinguished from a simultaneous crashing one within seconds (seed ${seed})`, async (t) => {
    const clock = new SimulatedClock();
    const instances = 4;
    const fleet = new CrashingFleet(clock, { instances, engines: 2, seed });
    const sound = ["sent by all 0", "sent by all 1"];
    let served = 0;
    const send = async (digest: string): Promise<void> => {
      if ((await fleet.send({ digest, isCrashing: false })) === "served") served += 1;
    };
    for (let sent = 0; sent < 400; sent++) clock.at(sent * 30, () => void send(sound[sent % 2] ?? ""));
    for (let atMs = 0; atMs < 30_000; atMs += repeatMs) clock.at(atMs, () => void fleet.send(crashing));
    await clock.run(12_000);
    for (let index = 0; index < instances; index++)
      t.deepEqual(
        sound.filter((digest) => fleet.isQuarantinedAt(index, digest)),
        [],
      );
    t.true(served > 0);
    t.true(getCrashes(fleet).length <= maxCrashes + 1, `${getCrashes(fleet).length} crashes`);
    t.true(countLateArrivals(fleet) <= allowedLateArrivals);
  });
}
