/** Guards against sums that keep what is long past, or grow when the clock goes back. */
import test from "ava";
import { DecayingSum } from "../utils/DecayingSum.js";

test("a decaying sum forgets by the time that passed, and ignores a clock that goes back", (t) => {
  const sum = new DecayingSum(1_000);
  sum.add(1, 5_000);
  t.is(sum.get(5_000), 1);
  t.is(sum.get(4_000), 1);
  t.true(Math.abs(sum.get(6_000) - 1 / Math.E) < 1e-9);
});
