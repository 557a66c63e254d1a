/**
 * Tests that a stopping process exits before it is killed, even if its event loop runs late.
 *
 * With 64 instances, two processes of a rolling stop were killed at the end of their grace period of 8 s. They planned to exit 0.4 s before
 * it, but a process checks the clock only when it is scheduled: one that is scheduled every half second checks at 7.5 s and then at 8.0 s.
 */
import test from "ava";
import { StopDeadline } from "../StopDeadline.js";

const graceMs = 8_000;
const pollMs = 50;
const balancerNoticeMs = 2_500;

/** Simulates a stop whose requests in flight never finish, and returns the time at which the process begins to exit. */
async function simulateStop(turnMs: number): Promise<number> {
  let nowMs = 0;
  // The event loop runs at multiples of `turnMs`, so a sleep ends at the next of these times.
  const sleep = async (durationMs: number): Promise<void> => {
    nowMs = Math.ceil((nowMs + durationMs) / turnMs) * turnMs;
  };
  const deadline = new StopDeadline(graceMs, () => nowMs, sleep);
  await deadline.pause(balancerNoticeMs);
  while (!deadline.isReached) await deadline.pause(pollMs);
  return nowMs;
}

test("without delays of the event loop a process exits 0.4 s before the end of its grace period", async (t) => {
  t.is(await simulateStop(1), graceMs - 400);
});

for (const turnMs of [100, 300, 450, 500, 600]) {
  test(`if the event loop runs only every ${turnMs} ms, a process exits in the last sixth of its grace period`, async (t) => {
    const endedAtMs = await simulateStop(turnMs);
    t.true(endedAtMs < graceMs, `${endedAtMs}`);
    t.true(endedAtMs >= (graceMs * 5) / 6, `${endedAtMs}`);
  });
}

test("a grace period that is shorter than the notice to the load balancer is respected", async (t) => {
  let nowMs = 0;
  const sleep = async (durationMs: number): Promise<void> => {
    nowMs += durationMs;
  };
  const deadline = new StopDeadline(1_000, () => nowMs, sleep);
  await deadline.pause(balancerNoticeMs);
  t.true(deadline.isReached);
  t.true(nowMs < 1_000);
});
