/** Windowed sums, and quantiles of response times. */
import test from "ava";
import { getBoundMs, getBucket, getTimeQuantile } from "../../concurrency/TimeHistogram.js";
import { WindowedSums } from "../../concurrency/WindowedSums.js";

test("an amount counts for the whole window, and no longer than one slice beyond it", (t) => {
  const sums = new WindowedSums(8_000);
  sums.add("answers", 2, 500);
  sums.add("answers", 1, 4_000);
  t.is(sums.getSums(8_400).get("answers"), 3);
  t.is(sums.getSums(9_500).get("answers"), 1);
  t.is(sums.getSums(60_000).size, 0);
});

test("sums are the same object while nothing happens", (t) => {
  const sums = new WindowedSums(8_000);
  sums.add("answers", 1, 0);
  t.is(sums.getSums(100), sums.getSums(900));
});

test("a quantile of response times is exact to its bucket, and unknown for few of them", (t) => {
  const counts = new Map([40, 45, 50, 400].map((timeMs) => [getBucket(timeMs), 30]));
  const getCount = (bucket: number): number => counts.get(bucket) ?? 0;
  const usualMs = getTimeQuantile(getCount, 0.95, 20) ?? 0;
  t.true(usualMs >= 400 && usualMs < 520);
  t.true((getTimeQuantile(getCount, 0.5, 20) ?? 0) < 66);
  t.is(getTimeQuantile(getCount, 0.95, 1_000), undefined);
  t.true(getBoundMs(getBucket(77)) >= 77);
});
