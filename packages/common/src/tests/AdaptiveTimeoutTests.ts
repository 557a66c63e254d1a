/** How long slow peers are waited for. */
import test from "ava";
import { AdaptiveTimeout } from "../utils/AdaptiveTimeout.js";

test("each wait in vain doubles the next one, up to the longest, for that peer alone", (t) => {
  const patience = new AdaptiveTimeout(400, 1_000);
  t.is(patience.getTimeoutMs("g1"), 400);
  t.false(patience.noteTimeout("g1"));
  t.is(patience.getTimeoutMs("g1"), 800);
  t.true(patience.noteTimeout("g1"));
  t.is(patience.getTimeoutMs("g1"), 1_000);
  t.is(patience.getTimeoutMs("g2"), 400);
});

test("a peer that needs longer than the first wait is not given up again and again", (t) => {
  const patience = new AdaptiveTimeout(400, 6_400);
  const neededMs = 600;
  let answers = 0;
  for (let asked = 0; asked < 10; asked++) {
    if (patience.getTimeoutMs("g1") < neededMs) {
      t.false(patience.noteTimeout("g1"));
      continue;
    }
    patience.noteAnswer("g1", neededMs);
    answers += 1;
  }
  t.is(answers, 9);
});

test("a peer that is fast again gets the first wait again", (t) => {
  const patience = new AdaptiveTimeout(400, 6_400);
  patience.noteTimeout("g1");
  patience.noteAnswer("g1", 20);
  t.is(patience.getTimeoutMs("g1"), 400);
  t.false(patience.noteTimeout("g1"));
});
