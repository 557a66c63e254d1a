/**
 * A process that stops ends before it is killed, whatever turns it gets.
 *
 * Seen on a day of 64 instances: two processes of a rolling stop were killed at the end of their grace of 8 s. The stop was planned to end
 * 0.4 s before that by a clock that is only looked at when the process has its turn; one that gets its turn each half a second looks at
 * 7.5 s, and then at 8.0 s.
 */
import test from "ava";
import { StopDeadline } from "../StopDeadline.js";

const graceMs = 8_000;
const pollMs = 50;
const balancerNoticeMs = 2_500;

/** Plays a stop in which requests stay in hand to the end, and gives when the process begins to end. */
async function playStop(turnMs: number): Promise<number> {
  let nowMs = 0;
  // Turns come at whole multiples, so that a wait ends at the next one.
  const sleep = async (durationMs: number): Promise<void> => {
    nowMs = Math.ceil((nowMs + durationMs) / turnMs) * turnMs;
  };
  const deadline = new StopDeadline(graceMs, () => nowMs, sleep);
  await deadline.pause(balancerNoticeMs);
  while (!deadline.isReached) await deadline.pause(pollMs);
  return nowMs;
}

test("with turns on time it ends 0.4 s before the end of its grace", async (t) => {
  t.is(await playStop(1), graceMs - 400);
});

for (const turnMs of [100, 300, 450, 500, 600]) {
  test(`with a turn each ${turnMs} ms it ends before the end of its grace, and not in the first five sixths of it`, async (t) => {
    const endedAtMs = await playStop(turnMs);
    t.true(endedAtMs < graceMs, `${endedAtMs}`);
    t.true(endedAtMs >= (graceMs * 5) / 6, `${endedAtMs}`);
  });
}

test("a grace that is shorter than the notice to the balancer is kept, too", async (t) => {
  let nowMs = 0;
  const sleep = async (durationMs: number): Promise<void> => {
    nowMs += durationMs;
  };
  const deadline = new StopDeadline(1_000, () => nowMs, sleep);
  await deadline.pause(balancerNoticeMs);
  t.true(deadline.isReached);
  t.true(nowMs < 1_000);
});
