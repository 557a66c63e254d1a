/** Tests how long a back-off lasts, and how many requests are sent after it. */
import test from "ava";
import { EndpointBackoff } from "../EndpointBackoff.js";

test("a back-off ends at the latest requested time, whatever is requested or answered in the meantime", (t) => {
  const backoff = new EndpointBackoff();
  t.true(backoff.extendTo(3_000, 0));
  t.false(backoff.extendTo(1_000, 10));
  backoff.noteAnswered(5);
  t.is(backoff.getLeftMs(2_000), 1_000);
  t.false(backoff.extendTo(5_000, 2_000));
  t.false(backoff.maySend(4_999));
  t.true(backoff.maySend(5_000));
});

// Guards against all waiting requests reaching the endpoint at once at the end of its back-off.
test("after a back-off one request is sent first, and twice as many after each answer", (t) => {
  const backoff = new EndpointBackoff();
  backoff.extendTo(1_000, 0);
  const sendAll = (nowMs: number): number => {
    let sent = 0;
    for (; sent < 100 && backoff.maySend(nowMs); sent++) backoff.noteSent(nowMs);
    return sent;
  };
  t.is(sendAll(1_000), 1);
  backoff.noteAnswered(1_000);
  t.is(sendAll(1_010), 2);
  backoff.noteAnswered(1_010);
  backoff.noteAnswered(1_010);
  t.is(sendAll(1_020), 8);
  t.true(backoff.isRecovering(1_020));
  for (let answer = 0; answer < 2; answer++) backoff.noteAnswered(1_020);
  t.false(backoff.isRecovering(1_020));
  t.is(sendAll(1_030), 100);
});

test("a request without an answer delays the next one by a second only, and a request that was not sent does not", (t) => {
  const backoff = new EndpointBackoff();
  backoff.extendTo(1_000, 0);
  backoff.noteSent(1_000);
  t.false(backoff.maySend(1_999));
  t.true(backoff.maySend(2_000));
  backoff.noteSent(2_000);
  backoff.noteNotSent();
  backoff.noteNotSent();
  t.true(backoff.maySend(2_001));
});

test("an answer to a request from before the back-off does not advance the slow start", (t) => {
  const backoff = new EndpointBackoff();
  backoff.extendTo(1_000, 0);
  backoff.noteSent(1_000);
  backoff.noteAnswered(-10);
  t.false(backoff.maySend(1_010));
});

test("the end of a back-off is reported once", (t) => {
  const backoff = new EndpointBackoff();
  t.is(backoff.takeEndedMs(0), undefined);
  backoff.extendTo(3_000, 500);
  t.is(backoff.takeEndedMs(2_999), undefined);
  t.is(backoff.takeEndedMs(3_000), 2_500);
  t.is(backoff.takeEndedMs(3_001), undefined);
});
