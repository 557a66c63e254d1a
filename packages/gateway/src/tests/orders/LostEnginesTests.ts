/** An engine under suspicion that does not answer is lost before its entry lapses; one that answers is not. */
import test from "ava";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { LostEngines } from "../../orders/LostEngines.js";
import { createEngine } from "../testData.js";
import { FakeEngines } from "../FakeEngines.js";
import { SilentSink } from "../SilentSink.js";

const nowMs = 10_000;

function setUp() {
  const orders = new FakeEngines();
  const lost = new LostEngines(orders, new DecisionLog(new SilentSink(), () => 0), () => nowMs);
  const members = ["a", "b", "c"].map((id, at) => createEngine(id, at, at + 1));
  const [first] = members;
  if (first === undefined) throw new Error("There are three members.");
  const getKept = (): string[] => lost.sift(members).map((member) => member.id);
  return { orders, lost, members, first, getKept };
}

test("an engine that answers no question is lost though the list has it", async (t) => {
  const { orders, lost, first, getKept } = setUp();
  orders.silent.add("a");
  await lost.check(first);
  t.deepEqual(getKept(), ["b", "c"]);
});

test("an engine that answers is not lost, whatever it is suspected of", async (t) => {
  const { lost, first, getKept } = setUp();
  first.suspectUntilMs = nowMs + 1;
  await lost.check(first);
  t.deepEqual(getKept(), ["a", "b", "c"]);
});

test("where most of a zone does not answer, the link is at fault", async (t) => {
  const { orders, lost, members, getKept } = setUp();
  for (const id of ["a", "b"]) orders.silent.add(id);
  await Promise.all(members.map((member) => lost.check(member)));
  t.deepEqual(getKept(), ["a", "b", "c"]);
});
