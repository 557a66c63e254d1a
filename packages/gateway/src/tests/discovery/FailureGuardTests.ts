/** An endpoint that resets each request is left alone for longer and longer; a loss of all connections at once is nobody's fault. */
import test from "ava";
import { FailureGuard } from "../../discovery/FailureGuard.js";

/** Sends a request whenever the endpoint is not avoided; each is reset at once. Gives how many were. */
function play(guard: FailureGuard, durationMs: number): number {
  let resets = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += 5) {
    if (guard.isOpen(nowMs)) continue;
    guard.noteFailed(nowMs, nowMs + 1);
    resets += 1;
  }
  return resets;
}

test("an endpoint that resets everything for 6.6 s gets five requests of an instance, not all", (t) => {
  t.is(play(new FailureGuard(), 6_600), 5);
});

test("requests that were lost together count as one, and the endpoint is used again at once", (t) => {
  const guard = new FailureGuard();
  for (let request = 0; request < 20; request++) guard.noteFailed(request, 100 + request);
  t.true(guard.isOpen(140));
  t.false(guard.isOpen(150));
});

test("an answer between two resets makes the second a first one again", (t) => {
  const guard = new FailureGuard();
  guard.noteFailed(0, 1);
  guard.noteAnswered();
  guard.noteFailed(100, 101);
  t.false(guard.isOpen(160));
  guard.noteFailed(200, 201);
  t.true(guard.isOpen(600));
});

// Guards against an endpoint that fails at once getting all that comes as soon as it is tried again.
test("after a failure one request goes first, and more after each answer", (t) => {
  const guard = new FailureGuard();
  guard.noteFailed(0, 1);
  const sendAll = (nowMs: number): number => {
    let sent = 0;
    for (; sent < 100 && !guard.isBlocked(nowMs); sent++) guard.noteSent(nowMs);
    return sent;
  };
  t.is(sendAll(60), 1);
  guard.noteAnswered(60);
  t.is(sendAll(70), 2);
  guard.noteFailed(70, 72);
  t.is(sendAll(200), 1, "failed again");
});

test("a request without a second chance goes there only once it was answered, or nobody has tried it for a while", (t) => {
  const guard = new FailureGuard();
  t.false(guard.isUnproven(0));
  guard.noteFailed(0, 1);
  t.true(guard.isUnproven(1_000));
  t.false(guard.isUnproven(6_000));
  guard.noteAnswered(2_000);
  t.false(guard.isUnproven(2_000));
});
