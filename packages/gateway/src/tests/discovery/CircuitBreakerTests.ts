/**
 * Tests that an endpoint that resets every request is avoided for increasing times, and that the loss of all connections at once counts as
 * one failure.
 */
import test from "ava";
import { CircuitBreaker } from "../../discovery/CircuitBreaker.js";

/** Sends a request whenever the circuit is closed, each of which is reset at once, and returns the number of requests. */
function countResets(breaker: CircuitBreaker, durationMs: number): number {
  let resets = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += 5) {
    if (breaker.isOpen(nowMs)) continue;
    breaker.noteFailed(nowMs, nowMs + 1);
    resets += 1;
  }
  return resets;
}

test("an endpoint that resets every request for 6.6 s gets five requests from an instance", (t) => {
  t.is(countResets(new CircuitBreaker(), 6_600), 5);
});

test("requests that fail together count as one failure, and the endpoint is soon used again", (t) => {
  const breaker = new CircuitBreaker();
  for (let request = 0; request < 20; request++) breaker.noteFailed(request, 100 + request);
  t.true(breaker.isOpen(140));
  t.false(breaker.isOpen(150));
});

test("after an answer the next reset counts as a first failure", (t) => {
  const breaker = new CircuitBreaker();
  breaker.noteFailed(0, 1);
  breaker.noteAnswered();
  breaker.noteFailed(100, 101);
  t.false(breaker.isOpen(160));
  breaker.noteFailed(200, 201);
  t.true(breaker.isOpen(600));
});

// Guards against sending all requests to an endpoint that fails right away as soon as it is tried again.
test("after a failure one request is sent first, and more after each answer", (t) => {
  const breaker = new CircuitBreaker();
  breaker.noteFailed(0, 1);
  const sendAll = (nowMs: number): number => {
    let sent = 0;
    for (; sent < 100 && !breaker.isBlocked(nowMs); sent++) breaker.noteSent(nowMs);
    return sent;
  };
  t.is(sendAll(60), 1);
  breaker.noteAnswered(60);
  t.is(sendAll(70), 2);
  breaker.noteFailed(70, 72);
  t.is(sendAll(200), 1, "failed again");
});

test("after a failure a request that can't be retried is sent only after an answer, or after several seconds", (t) => {
  const breaker = new CircuitBreaker();
  t.false(breaker.isRecovering(0));
  breaker.noteFailed(0, 1);
  t.true(breaker.isRecovering(1_000));
  t.false(breaker.isRecovering(6_000));
  breaker.noteAnswered(2_000);
  t.false(breaker.isRecovering(2_000));
});

// Guards against an endpoint whose heads of answers without an end count as answers, so that it attracts requests again and again.
test("an endpoint whose answers have no end is avoided for longer each time, until it has produced something", (t) => {
  const breaker = new CircuitBreaker();
  let nowMs = 1_000;
  const openMs: number[] = [];
  for (let answer = 0; answer < 8; answer++) {
    breaker.noteAnswered(nowMs);
    breaker.noteEndless(nowMs, nowMs + 10);
    const fromMs = nowMs + 10;
    for (nowMs = fromMs; breaker.isOpen(nowMs);) nowMs += 10;
    openMs.push(nowMs - fromMs);
  }
  t.deepEqual(openMs, [500, 1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000]);
  breaker.noteProduced(nowMs);
  breaker.noteEndless(nowMs, nowMs);
  t.false(breaker.isOpen(nowMs + 500));
});
