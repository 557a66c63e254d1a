import test from "ava";
import { utils } from "../index.js";

const intervalMs = 200;

function createDetector() {
  const clock = { nowMs: 0 };
  const detector = new utils.PauseDetector(intervalMs, () => clock.nowMs);
  const tick = (afterMs: number): number => {
    clock.nowMs += afterMs;
    return detector.noteTick();
  };
  return { clock, detector, tick };
}

test("slightly late ticks of a busy process report no pause", (t) => {
  const { tick } = createDetector();
  t.deepEqual([200, 260, 450, 200].map(tick), [0, 0, 0, 0]);
});

test("a tick that is seconds late reports a pause of that time, once", (t) => {
  const { tick } = createDetector();
  t.deepEqual([200, 4_200, 200].map(tick), [0, 4_000, 0]);
});

test("the recent pause is reported before the next tick and shortly after it, then no longer", (t) => {
  const { clock, detector, tick } = createDetector();
  tick(200);
  t.is(detector.getRecentPauseMs(), 0);
  clock.nowMs += 4_200;
  t.is(detector.getRecentPauseMs(), 4_000);
  tick(0);
  t.is(detector.getRecentPauseMs(), 4_000);
  tick(200);
  tick(200);
  t.is(detector.getRecentPauseMs(), 0);
});
