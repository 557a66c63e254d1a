/** Ticks of tasks with equal intervals coincide, and each occurs once. */
import test from "ava";
import { utils } from "../index.js";

test("the next tick is the next whole multiple of the interval", (t) => {
  t.is(utils.getTimeToTick(200, 150), 50);
  t.is(utils.getTimeToTick(200, 200), 200);
  t.is(utils.getTimeToTick(200, 1_001), 199);
});

test("a timer that fires slightly early counts as its tick and waits for the next one", (t) => {
  t.is(utils.getTimeToTick(200, 199.5), 200.5);
  t.is(utils.getTimeToTick(100, 1_098.5), 101.5);
});
