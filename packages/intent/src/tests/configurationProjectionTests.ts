/** All instances fold the same records to the same configuration, and none goes back. */
import type { LogRecord } from "@shedtiller/logservice";
import test from "ava";
import * as fc from "fast-check";
import { ConfigurationProjection } from "../ConfigurationProjection.js";
import { absentOffset, type Change } from "../configurationRecords.js";

function createClassChange(name: string, rank: number, baseOffset: number): Change {
  return { key: `class/${name}`, baseOffset, value: { kind: "class", name, rank, floorShare: 0 } };
}

function createRecord(offset: number, planId: string, changes: Change[], operator = "anna"): LogRecord {
  return {
    offset,
    atMs: offset,
    id: planId,
    payload: { version: 1, type: "confirm", planId, operator, changes },
  };
}

test("of two plans on one object the first in log order wins; the other is told what and by whom", (t) => {
  const fold = new ConfigurationProjection();
  fold.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)], "anna"));
  fold.acceptRecord(createRecord(1, "p2", [createClassChange("a", 2, absentOffset)], "bo"));
  fold.acceptRecord(createRecord(2, "p3", [createClassChange("b", 3, absentOffset)], "bo"));
  t.true(fold.getOutcome("p1")?.isAccepted);
  const rejected = fold.getOutcome("p2");
  t.false(rejected?.isAccepted);
  t.is(rejected?.overtakenKey, "class/a");
  t.is(rejected?.overtakenByOperator, "anna");
  t.true(fold.getOutcome("p3")?.isAccepted);
  t.is(fold.getObject("class", "a")?.rank, 1);
});

test("a record that is in the log twice changes nothing the second time", (t) => {
  const fold = new ConfigurationProjection();
  const changes = [createClassChange("a", 1, absentOffset)];
  fold.acceptRecord(createRecord(0, "p1", changes));
  fold.acceptRecord(createRecord(1, "p1", changes));
  t.is(fold.getBaseOffset("class/a"), 0);
  t.is(fold.state.outcomes.length, 1);
  t.true(fold.getOutcome("p1")?.isAccepted);
});

test("a plan made before an object was removed is overtaken by the removal", (t) => {
  const fold = new ConfigurationProjection();
  fold.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  fold.acceptRecord(createRecord(1, "p2", [{ key: "class/a", baseOffset: 0, value: null }]));
  fold.acceptRecord(createRecord(2, "p3", [createClassChange("a", 2, 0)]));
  t.false(fold.getOutcome("p3")?.isAccepted);
  t.is(fold.getObject("class", "a"), undefined);
});

test("a record of an unknown version is kept and reported", (t) => {
  const fold = new ConfigurationProjection();
  fold.acceptRecord({ offset: 0, atMs: 0, id: "x", payload: { version: 9, type: "confirm" } });
  fold.acceptRecord(createRecord(1, "p1", [createClassChange("a", 1, absentOffset)]));
  t.is(fold.unknownRecords[0]?.reason, "has version 9");
  t.is(fold.offset, 1);
  t.is(fold.getObject("class", "a")?.rank, 1);
});

test("a state from a peer is taken only if it is newer", (t) => {
  const [older, newer] = [new ConfigurationProjection(), new ConfigurationProjection()];
  older.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  newer.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  newer.acceptRecord(createRecord(1, "p2", [createClassChange("a", 2, 0)]));
  t.false(newer.adoptState(older.state));
  t.is(newer.getObject("class", "a")?.rank, 2);
  t.true(older.adoptState(newer.state));
  t.is(older.getObject("class", "a")?.rank, 2);
});

function createSnapshot(offset: number, fold: ConfigurationProjection): LogRecord {
  return {
    offset,
    atMs: offset,
    id: `s${offset}`,
    payload: { version: 1, type: "snapshot", state: structuredClone(fold.state) },
  };
}

test("a late or doubled snapshot changes nothing for an instance that has read on", (t) => {
  const fold = new ConfigurationProjection();
  fold.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  const late = createSnapshot(2, fold);
  fold.acceptRecord(createRecord(1, "p2", [createClassChange("a", 2, 0)]));
  fold.acceptRecord(late);
  fold.acceptRecord({ ...late, offset: 3 });
  t.is(fold.getObject("class", "a")?.rank, 2);
  t.is(fold.offset, 3);
});

test("an instance that starts after records aged out takes a snapshot that leaves no gap, and no other", (t) => {
  const whole = new ConfigurationProjection();
  whole.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  const tooOld = createSnapshot(3, whole);
  whole.acceptRecord(createRecord(1, "p2", [createClassChange("b", 1, absentOffset)]));
  const second = createRecord(2, "p3", [createClassChange("b", 2, 1)]);
  const good = createSnapshot(4, whole);
  const fresh = new ConfigurationProjection();
  fresh.skipTo(2);
  fresh.acceptRecord(second);
  fresh.acceptRecord(tooOld);
  t.true(fresh.hasHistoryGap);
  fresh.acceptRecord(good);
  t.false(fresh.hasHistoryGap);
  t.is(fresh.getObject("class", "a")?.rank, 1);
  t.is(fresh.getObject("class", "b")?.rank, 2);
});

const confirmation = fc.record({
  plan: fc.integer({ min: 0, max: 5 }),
  name: fc.constantFrom("a", "b"),
  base: fc.integer({ min: -1, max: 6 }),
});

test("folds that learn from the log or from each other, at any points, agree and never go back", (t) => {
  fc.assert(
    fc.property(
      fc.array(confirmation, { minLength: 1, maxLength: 14 }),
      fc.array(fc.nat(2), { maxLength: 40 }),
      (plans, turns) => {
        const log = plans.map((p, offset) =>
          createRecord(offset, `p${p.plan}`, [createClassChange(p.name, offset + 1, p.base)]),
        );
        const folds = [
          new ConfigurationProjection(),
          new ConfigurationProjection(),
          new ConfigurationProjection(),
        ];
        for (const [turn, index] of turns.entries()) {
          const [fold, peer] = [
            folds[index] as ConfigurationProjection,
            folds[(index + 1) % 3] as ConfigurationProjection,
          ];
          const before = fold.offset;
          const next = log[before + 1];
          if (turn % 3 === 0) fold.adoptState(peer.state);
          else if (turn % 3 === 1 && next !== undefined) fold.acceptRecord(next);
          else fold.adoptRecords(peer.getRecordsSince(before).unwrapOr([]));
          t.true(fold.offset >= before);
        }
        for (const fold of folds) for (const record of log) fold.acceptRecord(record);
        for (const fold of folds) t.deepEqual(fold.state, folds[0]?.state);
      },
    ),
    { seed: 20_261_202, numRuns: 300 },
  );
});
