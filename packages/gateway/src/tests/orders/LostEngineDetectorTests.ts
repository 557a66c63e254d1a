/** Tests that a suspected engine without an answer counts as lost before its entry expires, and that an engine that answers does not. */
import test from "ava";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LostEngineDetector } from "../../orders/LostEngineDetector.js";
import { createEngine } from "../testData.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

const startMs = 10_000;

function setUp() {
  const clock = { nowMs: startMs };
  const orders = new FakeEngines();
  const detector = new LostEngineDetector(
    orders,
    new DecisionLog(new SilentLogOutput(), () => 0),
    () => clock.nowMs,
  );
  const members = ["a", "b", "c"].map((id, at) => createEngine(id, at, at + 1));
  const [first] = members;
  if (first === undefined) throw new Error("There are three members.");
  const getRemaining = (): string[] => detector.withoutLost(members).map((member) => member.id);
  return { clock, orders, detector, members, first, getRemaining };
}

test("an engine that answers no probe is lost although it is listed", async (t) => {
  const { orders, detector, first, getRemaining } = setUp();
  orders.silent.add("a");
  await detector.check(first);
  t.deepEqual(getRemaining(), ["b", "c"]);
});

test("a suspected engine that answers is not lost", async (t) => {
  const { detector, first, getRemaining } = setUp();
  first.suspectUntilMs = startMs + 1;
  await detector.check(first);
  t.deepEqual(getRemaining(), ["a", "b", "c"]);
});

test("if most engines of a zone don't answer, the link is assumed to have failed and no engine counts as lost", async (t) => {
  const { orders, detector, members, getRemaining } = setUp();
  for (const id of ["a", "b"]) orders.silent.add(id);
  await Promise.all(members.map((member) => detector.check(member)));
  t.deepEqual(getRemaining(), ["a", "b", "c"]);
});

// Guards against a zone that gets no order as long as most of its listed engines can't be reached, some of them with layers.
test("engines that don't answer are left out although they are most of their zone, once they should have left the list", async (t) => {
  const { clock, orders, detector, members, getRemaining } = setUp();
  for (const id of ["a", "b"]) orders.silent.add(id);
  await Promise.all(members.map((member) => detector.check(member)));
  t.false(detector.isZoneReached(members));
  clock.nowMs += 7_999;
  t.deepEqual(getRemaining(), ["a", "b", "c"]);
  clock.nowMs += 1;
  t.deepEqual(getRemaining(), ["c"]);
  t.false(detector.isZoneReached(members));
});

test("an engine without layers that does not answer is left out at once, also if most engines of its zone don't answer", async (t) => {
  const { orders, detector, members } = setUp();
  const withEmpty = [...members, createEngine("d", 0, 0), createEngine("e", 0, 0)];
  for (const empty of withEmpty.slice(3)) empty.listed = { ...empty.listed, layers: [] };
  for (const id of ["a", "d", "e"]) orders.silent.add(id);
  await Promise.all(withEmpty.map((member) => detector.check(member)));
  t.deepEqual(
    detector.withoutLost(withEmpty).map((member) => member.id),
    ["a", "b", "c"],
  );
});

// Guards against a leader that rearranges zones after it has reached no endpoint for a while.
test("an engine is not lost by the probes of an instance that reached no engine at that time", async (t) => {
  const { orders, detector, first, getRemaining } = setUp();
  orders.silent.add("a");
  await detector.check(first);
  detector.reset();
  t.deepEqual(getRemaining(), ["a", "b", "c"]);
});
