/** Tests that failures observed by this instance are broadcast, and that reports of engines about other engines are verified first. */
import test from "ava";
import { FailureDetector } from "../../discovery/FailureDetector.js";
import { LivenessCheck } from "../../discovery/LivenessCheck.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

const nowMs = 10_000;

function setUp() {
  const endpoints = new EndpointTable(() => nowMs);
  endpoints.setAll(new Map([["a", createListed("a", { layers: [{ start: 0, end: 4 }] })]]));
  const orders = new FakeEngines();
  const sent: string[] = [];
  const detector = new FailureDetector({
    endpoints,
    orders,
    liveness: new LivenessCheck({ orders, probe: () => Promise.resolve("open"), isEngine: () => true }),
    log: new DecisionLog(new SilentLogOutput(), () => 0),
    broadcastSuspicion: (id) => sent.push(id),
    broadcastLayers: (id, layers) => sent.push(`${id} holds ${JSON.stringify(layers)}`),
    count: () => undefined,
    nowMs: () => nowMs,
  });
  const isSuspect = (): boolean => endpoints.get("a")?.isSuspect(nowMs) === true;
  return { endpoints, orders, sent, detector, isSuspect };
}

test("an endpoint that did not answer is suspected by this instance and its peers", (t) => {
  const { detector, sent, isSuspect } = setUp();
  detector.noteUnresponsive("a", "not reached");
  t.true(isSuspect());
  t.deepEqual(sent, ["a"]);
});

test("an engine that another engine reported as faulty, but that answers, is avoided only for a short time", async (t) => {
  const { detector, sent, isSuspect, endpoints } = setUp();
  const checked = detector.noteReportedFaulty("a", "stalled chain");
  t.true(isSuspect(), "until it has answered");
  await checked;
  t.false(isSuspect());
  t.is(endpoints.get("a")?.suspicions, 0);
  t.true((endpoints.get("a")?.avoidedUntilMs ?? 0) > nowMs);
  t.deepEqual(sent, []);
});

test("an engine that another engine reported as faulty, and that does not answer, is suspected by all instances", async (t) => {
  const { detector, sent, isSuspect, orders } = setUp();
  orders.silent.add("a");
  await detector.noteReportedFaulty("a", "stalled chain");
  t.true(isSuspect());
  t.deepEqual(sent, ["a"]);
});

test("an engine without the listed layers is queried once, and its actual layers are broadcast at once", async (t) => {
  const { detector, sent, endpoints, orders, isSuspect } = setUp();
  orders.reports.set("a", { layers: [] });
  await Promise.all([
    detector.noteLayersMissing("a"),
    detector.noteLayersMissing("a"),
    detector.noteLayersMissing("a"),
  ]);
  t.deepEqual(endpoints.get("a")?.listed.layers, []);
  t.deepEqual(sent, ["a holds []"]);
  t.false(isSuspect());
  // A later entry of the list overrides the queried layers.
  endpoints.apply([{ key: "a", value: createListed("a", { layers: [{ start: 2, end: 4 }] }) }]);
  t.deepEqual(endpoints.get("a")?.listed.layers, [{ start: 2, end: 4 }]);
});

test("an engine whose report agrees with the list is avoided for a short time; an engine without a report is suspected", async (t) => {
  const { detector, sent, endpoints, orders, isSuspect } = setUp();
  orders.reports.set("a", { layers: [{ start: 0, end: 4 }] });
  await detector.noteLayersMissing("a");
  t.true((endpoints.get("a")?.avoidedUntilMs ?? 0) > nowMs);
  t.deepEqual(sent, []);
  orders.silent.add("a");
  await detector.noteLayersMissing("a");
  t.true(isSuspect());
  t.deepEqual(sent, ["a"]);
});
