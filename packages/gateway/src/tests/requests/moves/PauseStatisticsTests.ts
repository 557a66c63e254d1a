/** The silence from which on a stream is conspicuous. */
import test from "ava";
import { PauseStatistics } from "../../../requests/moves/PauseStatistics.js";

const targetPauseMs = 250;

function measure(pauses: readonly number[]): PauseStatistics {
  const statistics = new PauseStatistics();
  for (let count = 0; count < 128; count++) statistics.add("engines", pauses[count % pauses.length] ?? 0);
  return statistics;
}

test("before pauses have been measured, a stream is conspicuous once it is late", (t) => {
  t.is(new PauseStatistics().getLimitMs("engines", targetPauseMs), 250);
  t.is(measure([50]).getLimitMs("others", targetPauseMs), 250, "each service has its own pauses");
});

test("the limit is twice the usual longest pause, within bounds that the target pause sets", (t) => {
  t.is(measure([60]).getLimitMs("engines", targetPauseMs), 120);
  t.is(measure([5]).getLimitMs("engines", targetPauseMs), 100);
  t.is(measure([400]).getLimitMs("engines", targetPauseMs), 250);
});

test("a few streams that stood still don't raise the limit, but engines that slow down do", (t) => {
  const statistics = measure([60]);
  for (let count = 0; count < 5; count++) statistics.add("engines", 1_000);
  t.is(statistics.getLimitMs("engines", targetPauseMs), 120);
  for (let count = 0; count < 32; count++) statistics.add("engines", 100);
  t.is(statistics.getLimitMs("engines", targetPauseMs), 200);
});
