/** Bursts of more prompts than can begin in time, of the least and of the most urgent requests, in one zone and in all. */
import test from "ava";
import { UrgencyZone, type UrgencyCounts } from "./UrgencyZone.js";

const targetsMs = [500, 600, 1_200];
/** Rates by priority that the engines have capacity for. */
const usual = [45, 70, 30];
const capacityPerSecond = 220;
const burstMs = 8_000;

function createZone(isLevelOn: boolean, seed = 1): UrgencyZone {
  return new UrgencyZone({ targetsMs, instances: 20, capacityPerSecond, seed, isLevelOn });
}

/** Simulates a burst between times of the usual rates. */
function simulateBurst(isLevelOn: boolean, burst: readonly number[]): readonly UrgencyCounts[] {
  const zone = createZone(isLevelOn);
  zone.run(2_000, usual);
  zone.run(burstMs, burst);
  zone.run(10_000, usual);
  return zone.counts;
}

function getInTimeShare({ inTime, asked }: UrgencyCounts): number {
  return inTime / asked;
}

const bursts = {
  "the least urgent": [45, 70, 200],
  "the most urgent": [200, 70, 30],
  "all kinds": [90, 140, 60],
};

for (const [name, burst] of Object.entries(bursts)) {
  test(`more prompts than can begin in time, in a burst of ${name}: more requests begin in time with the level than without`, (t) => {
    const without = simulateBurst(false, burst).map(getInTimeShare);
    const withLevel = simulateBurst(true, burst).map(getInTimeShare);
    t.true((withLevel[0] ?? 0) > (without[0] ?? 1) * 1.2, `${withLevel.join()} instead of ${without.join()}`);
    t.true((withLevel[1] ?? 0) > (without[1] ?? 1) * 1.2, `${withLevel.join()} instead of ${without.join()}`);
  });

  test(`a burst of ${name} does not make the most urgent requests worse off than the least urgent ones`, (t) => {
    const [mostUrgent, , leastUrgent] = simulateBurst(true, burst);
    if (mostUrgent === undefined || leastUrgent === undefined) return t.fail();
    const getRejectedShare = ({ rejected, asked }: UrgencyCounts): number => rejected / asked;
    t.true(getRejectedShare(mostUrgent) <= getRejectedShare(leastUrgent));
    t.true(getRejectedShare(leastUrgent) < 2 / 3, "at least a third is admitted");
  });
}

test("a light load and the usual one reject nobody", (t) => {
  for (const load of [0.2, 1]) {
    const zone = createZone(true);
    zone.run(
      20_000,
      usual.map((rate) => rate * load),
    );
    t.deepEqual(
      zone.counts.map(({ rejected }) => rejected),
      [0, 0, 0],
    );
  }
});

test("a burst in one zone rejects nobody in another one", (t) => {
  const zone = createZone(true);
  const other = createZone(true, 2);
  for (const rates of [usual, bursts["all kinds"], usual]) {
    zone.run(4_000, rates);
    other.run(4_000, usual);
  }
  t.true(zone.counts.some(({ rejected }) => rejected > 0));
  t.true(other.counts.every(({ rejected }) => rejected === 0));
});

test("after a burst the level returns to zero", (t) => {
  const zone = createZone(true);
  zone.run(4_000, bursts["all kinds"]);
  t.true(zone.level > 0);
  zone.run(20_000, usual);
  t.is(zone.level, 0);
});

test("while the collector is silent, the level holds for a second and then falls step by step", (t) => {
  const zone = createZone(true);
  zone.run(4_000, bursts["all kinds"]);
  const { level } = zone;
  zone.isCollectorAlive = false;
  zone.run(800, usual);
  t.is(zone.level, level);
  zone.run(1_000, usual);
  t.true(zone.level < level && zone.level > 0, `${zone.level} after ${level}`);
  zone.run(10_000, usual);
  t.is(zone.level, 0);
});

test("after a restart of all instances everything is admitted until the first sums", (t) => {
  const zone = createZone(true);
  zone.isCollectorAlive = false;
  zone.run(1_000, bursts["all kinds"]);
  t.true(zone.counts.every(({ rejected }) => rejected === 0));
});
