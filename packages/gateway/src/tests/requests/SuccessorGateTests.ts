/** Successors of streams that fall silent together. */
import test from "ava";
import { SuccessorGate } from "../../requests/SuccessorGate.js";

/** A time after which a run without events is silent, and a trial is over. */
const longMs = 1_000;

// Guards against successors that spend the retry budget although all streams are silent for one and the same cause.
test("of streams that are silent together only one gets a successor until that has produced an event", (t) => {
  const runs = [{ lastEventAtMs: 0 }, { lastEventAtMs: 0 }];
  const gate = new SuccessorGate(new Set(runs));
  t.true(gate.isOpen(longMs));
  gate.noteStart(longMs);
  t.false(gate.isOpen(longMs + 100));
  gate.noteEnd({ lastEventAtMs: longMs + 150 });
  t.true(gate.isOpen(longMs + 200));
  gate.noteStart(longMs + 200);
  t.true(gate.isOpen(longMs + 200), "the successor has shown that other engines work");
});

test("streams that are silent together may try another successor if the first one stays silent", (t) => {
  const gate = new SuccessorGate(new Set([{ lastEventAtMs: 0 }]));
  gate.noteStart(longMs);
  t.false(gate.isOpen(longMs + 100));
  t.true(gate.isOpen(2 * longMs));
});

test("a silent stream gets a successor at once while other streams have events", (t) => {
  const running = { lastEventAtMs: longMs };
  const gate = new SuccessorGate(new Set([{ lastEventAtMs: 0 }, running]));
  gate.noteStart(longMs);
  t.true(gate.isOpen(longMs));
});
