/** The evidence that failed calls give. */
import test from "ava";
import { errors } from "@shedtiller/common";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { getEvidence } from "../../discovery/SuspicionEvidence.js";
import { OrderRefusedError } from "../../orders/EngineOrders.js";
import { createListed } from "../testData.js";

function createCause(code: string): Error {
  return Object.assign(new Error(code), { code });
}

test("a refused connection and another process at the address show a loss; a reset or no answer does not", (t) => {
  t.is(getEvidence(new errors.NotReachedError("a:1", createCause("ECONNREFUSED"))), "lost");
  t.is(getEvidence(new OrderRefusedError("a:1", 421, undefined)), "lost");
  t.is(getEvidence(new errors.NotReachedError("a:1", createCause("ECONNRESET"))), "unanswered");
  t.is(getEvidence(new errors.NotReachedError("a:1")), "unanswered");
  t.is(getEvidence(new errors.ConnectionLostError("a:1")), "unanswered");
  t.is(getEvidence(new errors.DeadlineError("a:1", 1)), "unanswered");
});

test("stronger evidence confirms a suspicion, weaker evidence changes nothing, and a new suspicion begins anew", (t) => {
  const clock = { nowMs: 10_000 };
  const table = new EndpointTable(() => clock.nowMs);
  table.setAll(new Map([["a", createListed("a")]]));
  const events: string[] = [];
  table.onChanged((endpoint, event) => events.push(`${event} ${endpoint.evidence}`));
  t.true(table.suspect("a", "reported"));
  t.true(table.suspect("a", "lost"));
  t.false(table.suspect("a", "unanswered"));
  t.deepEqual(events, ["suspected reported", "confirmed lost"]);
  clock.nowMs += 60_000;
  t.true(table.suspect("a", "unanswered"));
  t.is(events.at(-1), "suspected unanswered");
});
