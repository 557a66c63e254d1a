/** An instance gives orders only within a term that it surely has. */
import test from "ava";
import { errors, results } from "@shedtiller/common";
import type { StoreError } from "../../discovery/ChangeFeed.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LeaderElection } from "../../orders/LeaderElection.js";
import { Leadership } from "../../orders/Leadership.js";
import { SilentSink } from "../SilentSink.js";

class ScriptedElection extends LeaderElection {
  override readonly termMs = 3_000;
  answer: results.Result<boolean, StoreError> = results.Ok(true);
  resigned = 0;

  override campaign(): Promise<results.Result<boolean, StoreError>> {
    return Promise.resolve(this.answer);
  }
  override resign(): Promise<void> {
    this.resigned += 1;
    return Promise.resolve();
  }
}

function setUp() {
  const clock = { nowMs: 0 };
  const candidacy = { mayCampaign: true };
  const election = new ScriptedElection();
  const seat = new Leadership(election, new DecisionLog(new SilentSink(), () => clock.nowMs), {
    nowMs: () => clock.nowMs,
    mayCampaign: () => candidacy.mayCampaign,
  });
  return { clock, candidacy, election, seat };
}

test("a term ends before the store may give it to another, also when the holder stood still", async (t) => {
  const { clock, seat } = setUp();
  t.false(seat.isLeader());
  await seat.campaign();
  t.true(seat.isLeader());
  clock.nowMs = 2_499;
  t.true(seat.isLeader());
  clock.nowMs = 2_500;
  t.false(seat.isLeader());
});

test("a campaign without an answer neither prolongs nor ends the term", async (t) => {
  const { clock, election, seat } = setUp();
  await seat.campaign();
  election.answer = results.Err(new errors.ConnectionLostError("store"));
  clock.nowMs = 1_000;
  await seat.campaign();
  t.true(seat.isLeader());
  clock.nowMs = 2_500;
  t.false(seat.isLeader());
});

test("an instance that is told that another leads stops at once", async (t) => {
  const { election, seat } = setUp();
  await seat.campaign();
  election.answer = results.Ok(false);
  await seat.campaign();
  t.false(seat.isLeader());
});

test("an instance that is no candidate any more withdraws once, so that it can't be given an office that it does not take", async (t) => {
  const { candidacy, election, seat } = setUp();
  election.answer = results.Ok(false);
  await seat.campaignIfDue();
  candidacy.mayCampaign = false;
  await seat.campaignIfDue();
  await seat.campaignIfDue();
  t.is(election.resigned, 1);
});

test("an instance that leads stays in office though it is no candidate any more", async (t) => {
  const { candidacy, election, seat } = setUp();
  await seat.campaignIfDue();
  candidacy.mayCampaign = false;
  await seat.campaignIfDue();
  t.true(seat.isLeader());
  t.is(election.resigned, 0);
});
