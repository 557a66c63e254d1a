/** The timeout of questions. */
import test from "ava";
import { AnswerTimeout } from "../../../requests/moves/AnswerTimeout.js";

test("the timeout begins long, falls with quick answers and grows again with slow ones, within its bounds", (t) => {
  const timeout = new AnswerTimeout();
  t.is(timeout.timeoutMs, 150);
  for (let count = 0; count < 20; count++) timeout.noteAnswer(4);
  t.is(timeout.timeoutMs, 100);
  for (let count = 0; count < 4; count++) timeout.noteAnswer(60);
  t.true(timeout.timeoutMs > 120);
  for (let count = 0; count < 20; count++) timeout.noteAnswer(600);
  t.is(timeout.timeoutMs, 500);
});
