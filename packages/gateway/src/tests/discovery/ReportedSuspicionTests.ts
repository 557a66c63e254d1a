/**
 * Tests that an instance verifies what a peer reports about an endpoint: the failed attempt of a peer may be due to the peer's own network
 * path.
 */
import test from "ava";
import { LivenessCheck } from "../../discovery/LivenessCheck.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { FailureDetector } from "../../discovery/FailureDetector.js";
import { SuspicionReview } from "../../discovery/SuspicionReview.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createListed } from "../testData.js";

/** Time since the beginning of the peer's attempt to connect. */
const attemptAgeMs = 400;

function setUp() {
  const clock = { nowMs: 10_000 };
  const endpoints = new EndpointTable(() => clock.nowMs);
  endpoints.setAll(
    new Map(["a", "b"].map((id) => [id, createListed(id, { layers: [{ start: 0, end: 4 }] })])),
  );
  const events: string[] = [];
  endpoints.onChanged((endpoint, event) => events.push(`${event} ${endpoint.id} ${endpoint.evidence}`));
  const orders = new FakeEngines();
  const log = new DecisionLog(new SilentLogOutput(), () => 0);
  const liveness = new LivenessCheck({ orders, probe: () => Promise.resolve("open"), isEngine: () => true });
  const broadcasts: string[] = [];
  const detector = new FailureDetector({
    endpoints,
    orders,
    liveness,
    log,
    broadcastSuspicion: (id) => broadcasts.push(id),
    broadcastLayers: () => undefined,
    count: () => undefined,
    nowMs: () => clock.nowMs,
  });
  const review = new SuspicionReview({ endpoints, liveness, log, nowMs: () => clock.nowMs });
  const report = (evidence: "unanswered" | "lost"): Promise<void> =>
    detector.noteReportedByPeer("a", { evidence, ageMs: attemptAgeMs, reporter: "front-2" });
  const isSuspect = (id: string): boolean => endpoints.get(id)?.isSuspect(clock.nowMs) === true;
  return { clock, endpoints, events, orders, broadcasts, review, report, isSuspect };
}

test("an endpoint that has answered since the beginning of a peer's failed attempt is not suspected", async (t) => {
  const { clock, endpoints, events, orders, report } = setUp();
  const endpoint = endpoints.get("a");
  if (endpoint !== undefined) endpoint.heardAtMs = clock.nowMs - attemptAgeMs / 2;
  await report("unanswered");
  t.deepEqual(events, []);
  t.deepEqual(orders.asked, [], "no question is needed");
});

test("an endpoint that a peer reports is used again as soon as it answers this instance", async (t) => {
  const { events, report, isSuspect, broadcasts, endpoints } = setUp();
  const verified = report("unanswered");
  t.true(isSuspect("a"), "until it has answered");
  await verified;
  t.false(isSuspect("a"));
  t.deepEqual(events, ["suspected a unanswered", "cleared a unanswered"]);
  t.is(endpoints.get("a")?.suspicions, 0, "the next suspicion has the initial duration");
  t.deepEqual(broadcasts, []);
});

test("streams leave an engine that a peer reports as lost only if it does not answer this instance", async (t) => {
  const { events, report } = setUp();
  await report("lost");
  t.false(events.some((event) => event.includes("lost")));
});

for (const kind of ["refusing", "silent"] as const) {
  test(`an engine that a peer reports as lost, and that is ${kind} here as well, is lost`, async (t) => {
    const { events, orders, report, isSuspect } = setUp();
    orders[kind].add("a");
    await report("lost");
    t.true(isSuspect("a"));
    t.deepEqual(events, ["suspected a unanswered", "confirmed a lost"]);
  });
}

test("reports of several peers lead to one question at a time", async (t) => {
  const { orders, report } = setUp();
  await Promise.all([report("unanswered"), report("lost"), report("unanswered")]);
  t.is(orders.asked.length, 1);
});

test("a suspicion ends at the first answer, without waiting for its duration", async (t) => {
  const { clock, endpoints, orders, review, isSuspect } = setUp();
  orders.silent.add("a").add("b");
  for (let repeat = 0; repeat < 3; repeat++) {
    endpoints.suspect("a");
    clock.nowMs += 25_000;
  }
  endpoints.suspect("a");
  endpoints.suspect("b");
  for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 200) {
    await review.checkDue();
    clock.nowMs += 200;
  }
  t.true(isSuspect("a") && isSuspect("b"));
  orders.silent.delete("a");
  for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 200) {
    await review.checkDue();
    clock.nowMs += 200;
  }
  t.false(isSuspect("a"));
  t.true(orders.asked.length < 12, `${orders.asked.length} questions in 4 s`);
});
