/** Tests that a sliding count keeps an event for its whole window, and drops the event soon after. */
import test from "ava";
import { WindowedCount } from "../WindowedCount.js";

const windowMs = 10_000;

test("an event counts for its whole window and for at most one slice longer", (t) => {
  for (const atMs of [0, 1, 499, 500, 7_301]) {
    const count = new WindowedCount(windowMs);
    count.add(atMs);
    t.is(count.get(atMs + windowMs), 1, `${atMs}`);
    t.is(count.get(atMs + windowMs * 1.1), 0, `${atMs}`);
  }
});

test("events of several slices are dropped one after the other", (t) => {
  const count = new WindowedCount(windowMs);
  for (let nowMs = 0; nowMs < windowMs; nowMs += 1_000) count.add(nowMs);
  t.is(count.get(windowMs - 1), 10);
  t.is(count.get(windowMs * 1.5), 5);
  t.is(count.get(windowMs * 100), 0);
});
