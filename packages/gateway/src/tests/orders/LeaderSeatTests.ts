/** An instance gives orders only within a term that it surely has. */
import test from "ava";
import { errors, results } from "@shedtiller/common";
import type { StoreError } from "../../discovery/ChangeFeed.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LeaderElection } from "../../orders/LeaderElection.js";
import { LeaderSeat } from "../../orders/LeaderSeat.js";
import { SilentSink } from "../SilentSink.js";

class ScriptedElection extends LeaderElection {
  override readonly termMs = 3_000;
  answer: results.Result<boolean, StoreError> = results.Ok(true);

  override campaign(): Promise<results.Result<boolean, StoreError>> {
    return Promise.resolve(this.answer);
  }
  override resign(): Promise<void> {
    return Promise.resolve();
  }
}

function setUp() {
  const clock = { nowMs: 0 };
  const election = new ScriptedElection();
  const seat = new LeaderSeat(election, new DecisionLog(new SilentSink(), () => clock.nowMs), {
    nowMs: () => clock.nowMs,
  });
  return { clock, election, seat };
}

test("a term ends before the store may give it to another, also when the holder stood still", async (t) => {
  const { clock, seat } = setUp();
  t.false(seat.isHeld());
  await seat.campaign();
  t.true(seat.isHeld());
  clock.nowMs = 2_499;
  t.true(seat.isHeld());
  clock.nowMs = 2_500;
  t.false(seat.isHeld());
});

test("a campaign without an answer neither prolongs nor ends the term", async (t) => {
  const { clock, election, seat } = setUp();
  await seat.campaign();
  election.answer = results.Err(new errors.ConnectionLostError("store"));
  clock.nowMs = 1_000;
  await seat.campaign();
  t.true(seat.isHeld());
  clock.nowMs = 2_500;
  t.false(seat.isHeld());
});

test("an instance that is told that another leads stops at once", async (t) => {
  const { election, seat } = setUp();
  await seat.campaign();
  election.answer = results.Ok(false);
  await seat.campaign();
  t.false(seat.isHeld());
});
