/** The level of admission by urgency: when it moves, and what it rejects at most. */
import test from "ava";
import * as fc from "fast-check";
import {
  getMaxLevel,
  getNextLevel,
  getRejectedSlices,
  slicesPerPriority,
  type PriorityFigures,
} from "../../levels/urgencyLevel.js";

const nowMs = 10_000;
const longAgo = { level: 3, decidedAtMs: 0, missShare: 0 };
const inTime: PriorityFigures = { begunPerSecond: 50, queuedPerSecond: 50, missedPerSecond: 0 };

function missing(share: number): PriorityFigures {
  return { begunPerSecond: 50, queuedPerSecond: 50, missedPerSecond: 50 * share };
}

test("the level rises while more than a tenth of a priority's streams miss their targets, by two steps if it is much more", (t) => {
  t.is(getNextLevel(longAgo, [inTime, missing(0.15)], nowMs).level, 4);
  t.is(getNextLevel(longAgo, [missing(0.5), inTime], nowMs).level, 5);
});

test("the level falls by one step once nearly no stream misses its target, and holds between", (t) => {
  t.is(getNextLevel(longAgo, [inTime, missing(0.01)], nowMs).level, 2);
  t.is(getNextLevel(longAgo, [inTime, missing(0.05)], nowMs).level, 3);
});

test("the level waits for the effect of its last change", (t) => {
  const justChanged = { level: 3, decidedAtMs: nowMs - 200, missShare: 0 };
  t.is(getNextLevel(justChanged, [missing(1)], nowMs), justChanged);
  t.is(getNextLevel(justChanged, [inTime], nowMs), justChanged);
});

test("the level does not rise while the prompts in front grow fewer, as after its last step", (t) => {
  const stepped = { ...longAgo, missShare: 0.6 };
  const held = getNextLevel(stepped, [missing(0.4), inTime], nowMs);
  t.is(held.level, 3);
  t.is(getNextLevel(held, [missing(0.39), inTime], nowMs * 2).level, 5, "they no longer do");
  t.is(getNextLevel(stepped, [missing(0.55), inTime], nowMs).level, 5);
});

test("once hardly any stream has prompts in front, the level falls by two steps, since engines have unused capacity", (t) => {
  const unqueued = { begunPerSecond: 50, queuedPerSecond: 1, missedPerSecond: 0 };
  t.is(getNextLevel({ ...longAgo, level: 9 }, [unqueued, unqueued, unqueued], nowMs).level, 7);
  t.is(getNextLevel({ ...longAgo, level: 1 }, [unqueued], nowMs).level, 0);
});

test("misses without prompts in front raise no level", (t) => {
  const lost = { begunPerSecond: 50, queuedPerSecond: 0, missedPerSecond: 40 };
  t.is(getNextLevel({ ...longAgo, level: 0 }, [lost], nowMs).level, 0);
});

test("without streams, and with too few to tell, the level falls", (t) => {
  t.is(getNextLevel(longAgo, [], nowMs).level, 0);
  t.is(
    getNextLevel(longAgo, [{ begunPerSecond: 1, queuedPerSecond: 1, missedPerSecond: 1 }], nowMs).level,
    2,
  );
});

test("the level stays between zero and its maximum, whatever the figures and the clock say", (t) => {
  const figure = fc.record({
    begunPerSecond: fc.double({ min: 0, noNaN: true }),
    queuedPerSecond: fc.double({ min: 0, noNaN: true }),
    missedPerSecond: fc.double({ min: 0, noNaN: true }),
  });
  const count = fc.integer({ min: 0, max: 100 });
  fc.assert(
    fc.property(
      fc.array(figure, { minLength: 1, maxLength: 5 }),
      count,
      fc.integer(),
      (priorities, level, atMs) => {
        const next = getNextLevel({ level, decidedAtMs: 0, missShare: 0 }, priorities, atMs);
        return next.level === level || (next.level >= 0 && next.level <= getMaxLevel(priorities.length));
      },
    ),
    { seed: 1 },
  );
  t.pass();
});

test("a priority is rejected only after all less urgent ones, and never as a whole", (t) => {
  const priorityCount = 3;
  for (let level = 0; level <= getMaxLevel(priorityCount); level++) {
    const rejected = [0, 1, 2].map((lessUrgent) => getRejectedSlices(level, lessUrgent));
    t.deepEqual(
      [...rejected].sort((a, b) => b - a),
      rejected,
      "the least urgent comes first",
    );
    t.true(rejected.every((slices) => slices <= (slicesPerPriority * 2) / 3));
  }
  t.deepEqual(
    [0, 1, 2].map((lessUrgent) => getRejectedSlices(0, lessUrgent)),
    [0, 0, 0],
  );
});
