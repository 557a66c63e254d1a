/** Tests that an instance acts as leader only within a term that the store is certain to have granted. */
import test from "ava";
import { errors, results } from "@shedtiller/common";
import type { StoreError } from "../../discovery/ChangeFeed.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LeaderElection } from "../../orders/LeaderElection.js";
import { Leadership } from "../../orders/Leadership.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

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
  const candidacy = { mayCampaign: true, canLead: true };
  const election = new ScriptedElection();
  const leadership = new Leadership(election, new DecisionLog(new SilentLogOutput(), () => clock.nowMs), {
    nowMs: () => clock.nowMs,
    mayCampaign: () => candidacy.mayCampaign,
    canLead: () => candidacy.canLead,
  });
  return { clock, candidacy, election, leadership };
}

test("a term ends before the store may elect another instance, even if the leader was suspended", async (t) => {
  const { clock, leadership } = setUp();
  t.false(leadership.isLeader());
  await leadership.campaign();
  t.true(leadership.isLeader());
  clock.nowMs = 2_499;
  t.true(leadership.isLeader());
  clock.nowMs = 2_500;
  t.false(leadership.isLeader());
});

test("a campaign without an answer neither extends nor ends the term", async (t) => {
  const { clock, election, leadership } = setUp();
  await leadership.campaign();
  election.answer = results.Err(new errors.ConnectionLostError("store"));
  clock.nowMs = 1_000;
  await leadership.campaign();
  t.true(leadership.isLeader());
  clock.nowMs = 2_500;
  t.false(leadership.isLeader());
});

test("a leader that loses a campaign stops acting as leader at once", async (t) => {
  const { election, leadership } = setUp();
  await leadership.campaign();
  election.answer = results.Ok(false);
  await leadership.campaign();
  t.false(leadership.isLeader());
});

test("an instance that is no longer a candidate withdraws once, so that it can't be elected without acting as leader", async (t) => {
  const { candidacy, election, leadership } = setUp();
  election.answer = results.Ok(false);
  await leadership.campaignIfDue();
  candidacy.mayCampaign = false;
  await leadership.campaignIfDue();
  await leadership.campaignIfDue();
  t.is(election.resigned, 1);
});

test("a leader keeps its leadership when it is no longer a candidate", async (t) => {
  const { candidacy, election, leadership } = setUp();
  await leadership.campaignIfDue();
  candidacy.mayCampaign = false;
  await leadership.campaignIfDue();
  t.true(leadership.isLeader());
  t.is(election.resigned, 0);
});

// Guards against a leader whose orders reach no engine while another instance could give them.
test("a leader that reaches no engine resigns at once, and campaigns again once it reaches one", async (t) => {
  const { candidacy, election, leadership } = setUp();
  await leadership.campaignIfDue();
  t.true(leadership.isLeader());
  candidacy.canLead = false;
  await leadership.campaignIfDue();
  t.false(leadership.isLeader());
  t.is(election.resigned, 1);
  candidacy.canLead = true;
  await leadership.campaignIfDue();
  t.true(leadership.isLeader());
});
