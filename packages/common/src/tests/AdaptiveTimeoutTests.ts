/** Guards against taking a permanently slow peer for dead because its timeout never grows. */
import test from "ava";
import { AdaptiveTimeout } from "../utils/AdaptiveTimeout.js";

test("each timeout doubles the next one, up to the maximum, for that peer alone", (t) => {
  const timeout = new AdaptiveTimeout(400, 1_000);
  t.is(timeout.getTimeoutMs("g1"), 400);
  t.false(timeout.noteTimeout("g1"));
  t.is(timeout.getTimeoutMs("g1"), 800);
  t.true(timeout.noteTimeout("g1"));
  t.is(timeout.getTimeoutMs("g1"), 1_000);
  t.is(timeout.getTimeoutMs("g2"), 400);
});

test("requests to a peer that needs longer than the initial timeout do not time out repeatedly", (t) => {
  const timeout = new AdaptiveTimeout(400, 6_400);
  const neededMs = 600;
  let answers = 0;
  for (let requests = 0; requests < 10; requests++) {
    if (timeout.getTimeoutMs("g1") < neededMs) {
      t.false(timeout.noteTimeout("g1"));
      continue;
    }
    timeout.noteAnswer("g1", neededMs);
    answers += 1;
  }
  t.is(answers, 9);
});

test("a peer that is fast again gets the initial timeout again", (t) => {
  const timeout = new AdaptiveTimeout(400, 6_400);
  timeout.noteTimeout("g1");
  timeout.noteAnswer("g1", 20);
  t.is(timeout.getTimeoutMs("g1"), 400);
  t.false(timeout.noteTimeout("g1"));
});
