/** On waking from a suspension, during which the steady clock stands, nothing is done under a right that ran out meanwhile. */
import test from "ava";
import { results, utils } from "@shedtiller/common";
import { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import { DenialFreshness } from "../configuration/DenialFreshness.js";
import type { StoreError } from "../discovery/ChangeFeed.js";
import { DecisionLog } from "../logs/DecisionLog.js";
import { LeaderElection } from "../orders/LeaderElection.js";
import { Leadership } from "../orders/Leadership.js";
import { createConfiguration } from "./testData.js";
import { SilentSink } from "./SilentSink.js";

const suspendedMs = 6_000;
const deadlineMs = 2_000;

/** A machine without a clock that proves a suspension, as the worst case. */
function createMachine() {
  const machine = { steadyMs: 1_000, wallMs: 1_700_000_000_000 };
  const clock = new utils.ElapsedClock({
    steadyMs: () => machine.steadyMs,
    wallMs: () => machine.wallMs,
    uptimeMs: () => 0,
  });
  const run = (durationMs: number): void => {
    machine.steadyMs += durationMs;
    machine.wallMs += durationMs;
    clock.nowMs();
  };
  run(5_000);
  return { nowMs: () => clock.nowMs(), run, suspend: () => (machine.wallMs += suspendedMs) };
}

class WonElection extends LeaderElection {
  override readonly termMs = 3_000;
  override campaign(): Promise<results.Result<boolean, StoreError>> {
    return Promise.resolve(results.Ok(true));
  }
  override resign(): Promise<void> {
    return Promise.resolve();
  }
}

test("a leader gives no order after a suspension that its term did not outlast", async (t) => {
  const { nowMs, run, suspend } = createMachine();
  const seat = new Leadership(new WonElection(), new DecisionLog(new SilentSink(), nowMs), { nowMs });
  await seat.campaign();
  run(100);
  t.true(seat.isLeader());
  suspend();
  t.false(seat.isLeader());
});

test("neither keys nor denials are taken at their word on a proof from before a suspension", (t) => {
  const { nowMs, run, suspend } = createMachine();
  const keeper = new ActiveConfiguration(nowMs);
  keeper.accept(createConfiguration(1));
  keeper.confirmFreshness(1, nowMs());
  const denials = new DenialFreshness({
    activeConfiguration: keeper,
    getBehindMs: () => 0,
    getDeadlineMs: () => deadlineMs,
    nowMs,
  });
  run(100);
  t.true(denials.isFresh());
  suspend();
  t.false(denials.isFresh());
  t.true(keeper.getFreshnessAgeMs() >= suspendedMs);
});
