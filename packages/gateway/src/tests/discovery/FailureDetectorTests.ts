/** What an instance saw itself is told to the peers; what an engine says of another one is checked first. */
import test from "ava";
import { FailureDetector } from "../../discovery/FailureDetector.js";
import { EndpointTable } from "../../discovery/EndpointTable.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createListed } from "../testData.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentSink } from "../SilentSink.js";

const nowMs = 10_000;

function setUp() {
  const endpoints = new EndpointTable(() => nowMs);
  endpoints.setAll(new Map([["a", createListed("a", { layers: [{ start: 0, end: 4 }] })]]));
  const orders = new FakeEngines();
  const told: string[] = [];
  const suspicions = new FailureDetector({
    endpoints,
    orders,
    log: new DecisionLog(new SilentSink(), () => 0),
    broadcastSuspicion: (id) => told.push(id),
    broadcastLayers: (id, layers) => told.push(`${id} holds ${JSON.stringify(layers)}`),
    count: () => undefined,
    nowMs: () => nowMs,
  });
  const isSuspect = (): boolean => endpoints.get("a")?.isSuspect(nowMs) === true;
  return { endpoints, orders, told, suspicions, isSuspect };
}

test("an endpoint that did not answer is suspected here and at the peers", (t) => {
  const { suspicions, told, isSuspect } = setUp();
  suspicions.noteSilent("a", "not reached");
  t.true(isSuspect());
  t.deepEqual(told, ["a"]);
});

test("an engine that was named by another one and answers is left alone for a moment only", async (t) => {
  const { suspicions, told, isSuspect, endpoints } = setUp();
  const checked = suspicions.noteNamed("a", "stalled chain");
  t.true(isSuspect(), "until it has answered");
  await checked;
  t.false(isSuspect());
  t.is(endpoints.get("a")?.suspicions, 0);
  t.true((endpoints.get("a")?.refusedUntilMs ?? 0) > nowMs);
  t.deepEqual(told, []);
});

test("an engine that was named and does not answer is suspected by all", async (t) => {
  const { suspicions, told, isSuspect, orders } = setUp();
  orders.silent.add("a");
  await suspicions.noteNamed("a", "stalled chain");
  t.true(isSuspect());
  t.deepEqual(told, ["a"]);
});

test("an engine that does not hold what the list says is asked once, and what it holds is known to all at once", async (t) => {
  const { suspicions, told, endpoints, orders, isSuspect } = setUp();
  orders.reports.set("a", { layers: [] });
  await Promise.all([suspicions.noteNotHeld("a"), suspicions.noteNotHeld("a"), suspicions.noteNotHeld("a")]);
  t.deepEqual(endpoints.get("a")?.listed.layers, []);
  t.deepEqual(told, ["a holds []"]);
  t.false(isSuspect());
  // The list tells again what holds, when it does.
  endpoints.apply([{ key: "a", value: createListed("a", { layers: [{ start: 2, end: 4 }] }) }]);
  t.deepEqual(endpoints.get("a")?.listed.layers, [{ start: 2, end: 4 }]);
});

test("an engine whose report agrees with the list is left alone for a moment; one that gives none is suspected", async (t) => {
  const { suspicions, told, endpoints, orders, isSuspect } = setUp();
  orders.reports.set("a", { layers: [{ start: 0, end: 4 }] });
  await suspicions.noteNotHeld("a");
  t.true((endpoints.get("a")?.refusedUntilMs ?? 0) > nowMs);
  t.deepEqual(told, []);
  orders.silent.add("a");
  await suspicions.noteNotHeld("a");
  t.true(isSuspect());
  t.deepEqual(told, ["a"]);
});
