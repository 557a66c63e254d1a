/** All instances derive the same configuration from the same records, and no instance returns to an older configuration. */
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

test("of two plans on one object the first in log order wins; the outcome of the other names the object and operator", (t) => {
  const projection = new ConfigurationProjection();
  projection.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)], "anna"));
  projection.acceptRecord(createRecord(1, "p2", [createClassChange("a", 2, absentOffset)], "bo"));
  projection.acceptRecord(createRecord(2, "p3", [createClassChange("b", 3, absentOffset)], "bo"));
  t.true(projection.getOutcome("p1")?.isAccepted);
  const rejected = projection.getOutcome("p2");
  t.false(rejected?.isAccepted);
  t.is(rejected?.overtakenKey, "class/a");
  t.is(rejected?.overtakenByOperator, "anna");
  t.true(projection.getOutcome("p3")?.isAccepted);
  t.is(projection.getObject("class", "a")?.rank, 1);
});

test("a duplicate record in the log has no effect", (t) => {
  const projection = new ConfigurationProjection();
  const changes = [createClassChange("a", 1, absentOffset)];
  projection.acceptRecord(createRecord(0, "p1", changes));
  projection.acceptRecord(createRecord(1, "p1", changes));
  t.is(projection.getBaseOffset("class/a"), 0);
  t.is(projection.state.outcomes.length, 1);
  t.true(projection.getOutcome("p1")?.isAccepted);
});

test("a plan made before the removal of its object is rejected", (t) => {
  const projection = new ConfigurationProjection();
  projection.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  projection.acceptRecord(createRecord(1, "p2", [{ key: "class/a", baseOffset: 0, value: null }]));
  projection.acceptRecord(createRecord(2, "p3", [createClassChange("a", 2, 0)]));
  t.false(projection.getOutcome("p3")?.isAccepted);
  t.is(projection.getObject("class", "a"), undefined);
});

test("a record of an unknown version is stored and reported", (t) => {
  const projection = new ConfigurationProjection();
  projection.acceptRecord({ offset: 0, atMs: 0, id: "x", payload: { version: 9, type: "confirm" } });
  projection.acceptRecord(createRecord(1, "p1", [createClassChange("a", 1, absentOffset)]));
  t.is(projection.unknownRecords[0]?.reason, "has version 9");
  t.is(projection.offset, 1);
  t.is(projection.getObject("class", "a")?.rank, 1);
});

test("the state of a peer is adopted only if it is newer", (t) => {
  const [older, newer] = [new ConfigurationProjection(), new ConfigurationProjection()];
  older.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  newer.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  newer.acceptRecord(createRecord(1, "p2", [createClassChange("a", 2, 0)]));
  t.false(newer.adoptState(older.state));
  t.is(newer.getObject("class", "a")?.rank, 2);
  t.true(older.adoptState(newer.state));
  t.is(older.getObject("class", "a")?.rank, 2);
});

function createSnapshot(offset: number, projection: ConfigurationProjection): LogRecord {
  return {
    offset,
    atMs: offset,
    id: `s${offset}`,
    payload: { version: 1, type: "snapshot", state: structuredClone(projection.state) },
  };
}

test("a late or duplicate snapshot has no effect on an instance that has already read later records", (t) => {
  const projection = new ConfigurationProjection();
  projection.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  const late = createSnapshot(2, projection);
  projection.acceptRecord(createRecord(1, "p2", [createClassChange("a", 2, 0)]));
  projection.acceptRecord(late);
  projection.acceptRecord({ ...late, offset: 3 });
  t.is(projection.getObject("class", "a")?.rank, 2);
  t.is(projection.offset, 3);
});

test("an instance that starts after records expired applies only a snapshot that leaves no gap before the later records", (t) => {
  const complete = new ConfigurationProjection();
  complete.acceptRecord(createRecord(0, "p1", [createClassChange("a", 1, absentOffset)]));
  const outdated = createSnapshot(3, complete);
  complete.acceptRecord(createRecord(1, "p2", [createClassChange("b", 1, absentOffset)]));
  const lastRecord = createRecord(2, "p3", [createClassChange("b", 2, 1)]);
  const usable = createSnapshot(4, complete);
  const fresh = new ConfigurationProjection();
  fresh.skipTo(2);
  fresh.acceptRecord(lastRecord);
  fresh.acceptRecord(outdated);
  t.true(fresh.hasHistoryGap);
  fresh.acceptRecord(usable);
  t.false(fresh.hasHistoryGap);
  t.is(fresh.getObject("class", "a")?.rank, 1);
  t.is(fresh.getObject("class", "b")?.rank, 2);
});

const confirmation = fc.record({
  plan: fc.integer({ min: 0, max: 5 }),
  name: fc.constantFrom("a", "b"),
  base: fc.integer({ min: -1, max: 6 }),
});

test("projections that read from the log or from each other, in any order, converge and never go back", (t) => {
  fc.assert(
    fc.property(
      fc.array(confirmation, { minLength: 1, maxLength: 14 }),
      fc.array(fc.nat(2), { maxLength: 40 }),
      (plans, turns) => {
        const log = plans.map((p, offset) =>
          createRecord(offset, `p${p.plan}`, [createClassChange(p.name, offset + 1, p.base)]),
        );
        const projections = [
          new ConfigurationProjection(),
          new ConfigurationProjection(),
          new ConfigurationProjection(),
        ];
        for (const [turn, index] of turns.entries()) {
          const [projection, peer] = [
            projections[index] as ConfigurationProjection,
            projections[(index + 1) % 3] as ConfigurationProjection,
          ];
          const before = projection.offset;
          const next = log[before + 1];
          if (turn % 3 === 0) projection.adoptState(peer.state);
          else if (turn % 3 === 1 && next !== undefined) projection.acceptRecord(next);
          else projection.adoptRecords(peer.getRecordsSince(before).unwrapOr([]));
          t.true(projection.offset >= before);
        }
        for (const projection of projections) for (const record of log) projection.acceptRecord(record);
        for (const projection of projections) t.deepEqual(projection.state, projections[0]?.state);
      },
    ),
    { seed: 20_261_202, numRuns: 300 },
  );
});
