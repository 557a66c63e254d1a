/** An endpoint that resets each request is left alone for longer and longer; a loss of all connections at once is nobody's fault. */
import test from "ava";
import { ResetGuard } from "../../discovery/ResetGuard.js";

/** Sends a request whenever the endpoint is not avoided; each is reset at once. Gives how many were. */
function play(guard: ResetGuard, durationMs: number): number {
  let resets = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += 5) {
    if (guard.isAvoided(nowMs)) continue;
    guard.noteReset(nowMs, nowMs + 1);
    resets += 1;
  }
  return resets;
}

test("an endpoint that resets everything for 6.6 s gets five requests of an instance, not all", (t) => {
  t.is(play(new ResetGuard(), 6_600), 5);
});

test("requests that were lost together count as one, and the endpoint is used again at once", (t) => {
  const guard = new ResetGuard();
  for (let request = 0; request < 20; request++) guard.noteReset(request, 100 + request);
  t.true(guard.isAvoided(140));
  t.false(guard.isAvoided(150));
});

test("an answer between two resets makes the second a first one again", (t) => {
  const guard = new ResetGuard();
  guard.noteReset(0, 1);
  guard.noteAnswered();
  guard.noteReset(100, 101);
  t.false(guard.isAvoided(160));
  guard.noteReset(200, 201);
  t.true(guard.isAvoided(600));
});
