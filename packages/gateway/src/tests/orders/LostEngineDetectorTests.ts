/** Tests that a suspected engine without an answer counts as lost before its entry expires, and that an engine that answers does not. */
import test from "ava";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LostEngineDetector } from "../../orders/LostEngineDetector.js";
import { createEngine } from "../testData.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentLogOutput } from "../SilentLogOutput.js";

const nowMs = 10_000;

function setUp() {
  const orders = new FakeEngines();
  const detector = new LostEngineDetector(
    orders,
    new DecisionLog(new SilentLogOutput(), () => 0),
    () => nowMs,
  );
  const members = ["a", "b", "c"].map((id, at) => createEngine(id, at, at + 1));
  const [first] = members;
  if (first === undefined) throw new Error("There are three members.");
  const getRemaining = (): string[] => detector.withoutLost(members).map((member) => member.id);
  return { orders, detector, members, first, getRemaining };
}

test("an engine that answers no probe is lost although it is listed", async (t) => {
  const { orders, detector, first, getRemaining } = setUp();
  orders.silent.add("a");
  await detector.check(first);
  t.deepEqual(getRemaining(), ["b", "c"]);
});

test("a suspected engine that answers is not lost", async (t) => {
  const { detector, first, getRemaining } = setUp();
  first.suspectUntilMs = nowMs + 1;
  await detector.check(first);
  t.deepEqual(getRemaining(), ["a", "b", "c"]);
});

test("if most engines of a zone don't answer, the link is assumed to have failed and no engine counts as lost", async (t) => {
  const { orders, detector, members, getRemaining } = setUp();
  for (const id of ["a", "b"]) orders.silent.add(id);
  await Promise.all(members.map((member) => detector.check(member)));
  t.deepEqual(getRemaining(), ["a", "b", "c"]);
});

// Guards against a leader that rearranges zones after it has reached no endpoint for a while.
test("an engine is not lost by the probes of an instance that reached no engine at that time", async (t) => {
  const { orders, detector, first, getRemaining } = setUp();
  orders.silent.add("a");
  await detector.check(first);
  detector.reset();
  t.deepEqual(getRemaining(), ["a", "b", "c"]);
});
