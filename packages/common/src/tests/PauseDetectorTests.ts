import test from "ava";
import { utils } from "../index.js";

const intervalMs = 200;

function create() {
  const clock = { nowMs: 0 };
  const watch = new utils.PauseDetector(intervalMs, () => clock.nowMs);
  const tick = (afterMs: number): number => {
    clock.nowMs += afterMs;
    return watch.noteTick();
  };
  return { clock, watch, tick };
}

test("ticks of a busy process show no pause", (t) => {
  const { tick } = create();
  t.deepEqual([200, 260, 450, 200].map(tick), [0, 0, 0, 0]);
});

test("a tick that comes seconds late shows a pause of that time, once", (t) => {
  const { tick } = create();
  t.deepEqual([200, 4_200, 200].map(tick), [0, 4_000, 0]);
});

test("what is read after a pause is known to be older, before the next tick and shortly after it", (t) => {
  const { clock, watch, tick } = create();
  tick(200);
  t.is(watch.getRecentPauseMs(), 0);
  clock.nowMs += 4_200;
  t.is(watch.getRecentPauseMs(), 4_000);
  tick(0);
  t.is(watch.getRecentPauseMs(), 4_000);
  tick(200);
  tick(200);
  t.is(watch.getRecentPauseMs(), 0);
});
