/** Tests that the reports of an engine prevail over the list only once they have contradicted it for longer than an entry takes. */
import test from "ava";
import { LayerContradictions } from "../../orders/LayerContradictions.js";

const listed = [{ start: 0, end: 4 }];

function setUp() {
  const clock = { nowMs: 10_000 };
  return { clock, contradictions: new LayerContradictions(() => clock.nowMs) };
}

test("reports prevail over the list once they have contradicted it for three heartbeats", (t) => {
  const { clock, contradictions } = setUp();
  for (let second = 0; second < 4; second++) {
    t.false(contradictions.note("a", listed, []));
    clock.nowMs += 1_000;
  }
  t.true(contradictions.note("a", listed, []));
});

test("a contradiction begins anew with a report or an entry that shows other layers, or after a pause", (t) => {
  for (const [between, pauseMs] of [
    [listed, 1_000],
    [[{ start: 0, end: 2 }], 1_000],
    [undefined, 3_001],
  ] as const) {
    const { clock, contradictions } = setUp();
    contradictions.note("a", listed, []);
    clock.nowMs += 2_000;
    contradictions.note("a", listed, []);
    clock.nowMs += pauseMs;
    if (between !== undefined) contradictions.note("a", listed, between);
    clock.nowMs += 2_000;
    t.false(contradictions.note("a", listed, []));
  }
});
