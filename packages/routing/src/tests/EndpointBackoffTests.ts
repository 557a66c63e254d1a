/** How long an endpoint rests, and what goes to it first after that. */
import test from "ava";
import { EndpointBackoff } from "../EndpointBackoff.js";

test("a rest ends with the latest time that was named, whatever is named or answered meanwhile", (t) => {
  const rest = new EndpointBackoff();
  t.true(rest.extendTo(3_000, 0));
  t.false(rest.extendTo(1_000, 10));
  rest.noteAnswered(5);
  t.is(rest.getLeftMs(2_000), 1_000);
  t.false(rest.extendTo(5_000, 2_000));
  t.false(rest.maySend(4_999));
  t.true(rest.maySend(5_000));
});

// Guards against all that waited for the end of a rest reaching the endpoint at once.
test("after a rest one request goes first, and twice as many after each answer", (t) => {
  const rest = new EndpointBackoff();
  rest.extendTo(1_000, 0);
  const sendAll = (nowMs: number): number => {
    let sent = 0;
    for (; sent < 100 && rest.maySend(nowMs); sent++) rest.noteSent(nowMs);
    return sent;
  };
  t.is(sendAll(1_000), 1);
  rest.noteAnswered(1_000);
  t.is(sendAll(1_010), 2);
  rest.noteAnswered(1_010);
  rest.noteAnswered(1_010);
  t.is(sendAll(1_020), 8);
  t.true(rest.isUnproven(1_020));
  for (let answer = 0; answer < 2; answer++) rest.noteAnswered(1_020);
  t.false(rest.isUnproven(1_020));
  t.is(sendAll(1_030), 100);
});

test("a request without an answer holds the next one up for a second only, and one that was not sent not at all", (t) => {
  const rest = new EndpointBackoff();
  rest.extendTo(1_000, 0);
  rest.noteSent(1_000);
  t.false(rest.maySend(1_999));
  t.true(rest.maySend(2_000));
  rest.noteSent(2_000);
  rest.noteNotSent();
  rest.noteNotSent();
  t.true(rest.maySend(2_001));
});

test("an answer to a request from before the rest tells nothing of the return", (t) => {
  const rest = new EndpointBackoff();
  rest.extendTo(1_000, 0);
  rest.noteSent(1_000);
  rest.noteAnswered(-10);
  t.false(rest.maySend(1_010));
});

test("the end of a rest is told once", (t) => {
  const rest = new EndpointBackoff();
  t.is(rest.takeEndedMs(0), undefined);
  rest.extendTo(3_000, 500);
  t.is(rest.takeEndedMs(2_999), undefined);
  t.is(rest.takeEndedMs(3_000), 2_500);
  t.is(rest.takeEndedMs(3_001), undefined);
});
