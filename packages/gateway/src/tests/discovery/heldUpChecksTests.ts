/** Checks of endpoints by an instance that is held up while it waits for their answers. */
import test from "ava";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { FailureDetector } from "../../discovery/FailureDetector.js";
import { LivenessCheck } from "../../discovery/LivenessCheck.js";
import { SuspicionReview } from "../../discovery/SuspicionReview.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LostEngineDetector } from "../../orders/LostEngineDetector.js";
import { FakeEngines } from "../FakeEngines.js";
import { EarlyMoveFixture } from "../requests/moves/EarlyMoveFixture.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { createEngine, createListed } from "../testData.js";

/** Longer than the timeouts of all checks. */
const heldUpMs = 2_000;
/** An instance that reads no answer of "a", and is held up during the first questions to it. */
function setUp(heldUpQuestions = Number.POSITIVE_INFINITY) {
  const clock = { nowMs: 10_000 };
  const nowMs = (): number => clock.nowMs;
  const endpoints = new EndpointTable(nowMs);
  endpoints.setAll(new Map([["a", createListed("a", { layers: [{ start: 0, end: 4 }] })]]));
  const orders = new FakeEngines();
  orders.silent.add("a");
  orders.onAsked = () => {
    if (orders.asked.length <= heldUpQuestions) clock.nowMs += heldUpMs;
  };
  const log = new DecisionLog(new SilentLogOutput(), () => 0);
  const liveness = new LivenessCheck({
    orders,
    probe: () => Promise.resolve("open"),
    isEngine: () => true,
    nowMs,
  });
  const broadcasts: string[] = [];
  const detector = new FailureDetector({
    endpoints,
    orders,
    liveness,
    log,
    broadcastSuspicion: (id, evidence) => broadcasts.push(`${id} ${evidence}`),
    broadcastLayers: () => undefined,
    count: () => undefined,
    nowMs,
  });
  const review = new SuspicionReview({ endpoints, liveness, log, nowMs });
  return { clock, nowMs, endpoints, orders, log, detector, review, broadcasts };
}

test("an engine that another one reports as faulty is no fault to peers if this instance was held up in its check", async (t) => {
  const { endpoints, detector, broadcasts } = setUp();
  await detector.noteReportedFaulty("a", "stalled chain");
  t.deepEqual(broadcasts, []);
  t.is(endpoints.get("a")?.evidence, "reported");
});

test("a check that was held up is repeated, and finds a dark engine", async (t) => {
  const { endpoints, orders, detector, broadcasts } = setUp(1);
  await detector.noteReportedFaulty("a", "stalled chain");
  t.is(orders.asked.length, 2);
  t.deepEqual(broadcasts, ["a unanswered"]);
  t.is(endpoints.get("a")?.evidence, "unanswered");
});

test("streams do not leave an engine that a peer reports as lost if this instance was held up in its check", async (t) => {
  const { endpoints, detector } = setUp();
  await detector.noteReportedByPeer("a", { evidence: "lost", ageMs: 100, reporter: "front-2" });
  t.is(endpoints.get("a")?.evidence, "unanswered");
});

test("a review that was held up neither ends nor renews a suspicion", async (t) => {
  const { clock, endpoints, review } = setUp();
  endpoints.suspect("a");
  await review.checkDue();
  const untilMs = endpoints.get("a")?.suspectUntilMs;
  clock.nowMs += 500;
  await review.checkDue();
  t.is(endpoints.get("a")?.suspectUntilMs, untilMs);
});

test("an engine without the listed layers is not suspected if this instance was held up in its query", async (t) => {
  const { clock, endpoints, detector, broadcasts } = setUp();
  await detector.noteLayersMissing("a");
  t.false(endpoints.get("a")?.isSuspect(clock.nowMs));
  t.deepEqual(broadcasts, []);
});

// Guards against orders for the layers of sound engines, which the leader takes for lost since it was busy itself.
test("an engine is not lost for the leader if its probes were held up", async (t) => {
  const { orders, log, nowMs } = setUp();
  const detector = new LostEngineDetector(orders, log, nowMs);
  const engine = createEngine("a", 0, 4);
  for (let checks = 0; checks < 3; checks++) await detector.check(engine);
  t.deepEqual(detector.withoutLost([engine, createEngine("b", 0, 4), createEngine("c", 0, 4)]).length, 3);
});

test("a question during which the instance was held up is no evidence against an engine", async (t) => {
  const fixture = new EarlyMoveFixture();
  const { clock, endpoints, orders } = fixture;
  orders.onAsked = (id) => {
    if (id === "a3") clock.nowMs += heldUpMs;
  };
  fixture.measurePauses();
  const running = fixture.start("r2", "b");
  fixture.start("r1");
  orders.silent.add("a3");
  fixture.pass(300, [running]);
  await fixture.askAll();
  t.true(orders.asked.includes("a3"));
  t.false(endpoints.get("a3")?.isSuspect(clock.nowMs));
});
