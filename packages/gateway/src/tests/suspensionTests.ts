/** Tests that after a suspension, during which the steady clock stops, leases and freshness that have expired meanwhile are not used. */
import test from "ava";
import { results, utils } from "@shedtiller/common";
import { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import { DenialFreshness } from "../configuration/DenialFreshness.js";
import type { StoreError } from "../discovery/ChangeFeed.js";
import { DecisionLog } from "../logs/DecisionLog.js";
import { LeaderElection } from "../orders/LeaderElection.js";
import { Leadership } from "../orders/Leadership.js";
import { createConfiguration } from "./testData.js";
import { SilentLogOutput } from "./SilentLogOutput.js";

const suspendedMs = 6_000;
const deadlineMs = 2_000;

/** Creates a machine whose steady clock and uptime don't show a suspension, which is the worst case. */
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

test("an instance is no longer the leader after a suspension that is longer than its term", async (t) => {
  const { nowMs, run, suspend } = createMachine();
  const leadership = new Leadership(new WonElection(), new DecisionLog(new SilentLogOutput(), nowMs), {
    nowMs,
  });
  await leadership.campaign();
  run(100);
  t.true(leadership.isLeader());
  suspend();
  t.false(leadership.isLeader());
});

test("a freshness from before a suspension is valid neither for keys nor for not-found responses", (t) => {
  const { nowMs, run, suspend } = createMachine();
  const activeConfiguration = new ActiveConfiguration(nowMs);
  activeConfiguration.accept(createConfiguration(1));
  activeConfiguration.confirmFreshness(1, nowMs());
  const denialFreshness = new DenialFreshness({
    activeConfiguration,
    getBehindMs: () => 0,
    getDeadlineMs: () => deadlineMs,
    nowMs,
  });
  run(100);
  t.true(denialFreshness.isFresh());
  suspend();
  t.false(denialFreshness.isFresh());
  t.true(activeConfiguration.getFreshnessAgeMs() >= suspendedMs);
});
