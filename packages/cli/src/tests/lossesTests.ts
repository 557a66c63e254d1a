/** Requests are counted by how they ended, each with the decision that lost it. */
import test from "ava";
import type { LogLine } from "../explain/logLine.js";
import { countLosses, formatLosses } from "../losses/countLosses.js";
import { classifyEnd } from "../losses/classifyEnd.js";

function create(second: number, fields: object, message = "request-ended"): LogLine {
  const timestamp = new Date(1_700_000_000_000 + second * 1_000).toISOString();
  return { level: "info", message, instance: "a", timestamp, ...fields };
}

const inTime = { outcome: "completed", attempts: 1, isFirstEventLate: false, isPauseLate: false };

test("each end has its cause", (t) => {
  const judge = (fields: object, message?: string): string | undefined =>
    classifyEnd(create(0, fields, message));
  t.is(judge(inTime), "in time");
  t.is(judge({ outcome: "status 200" }), "in time");
  t.is(
    judge({ ...inTime, isFirstEventLate: true, queuedMs: 400, firstEventMs: 600 }),
    "late: waited for room",
  );
  t.is(
    judge({ ...inTime, isFirstEventLate: true, queuedMs: 10, firstEventMs: 600 }),
    "late: slow first event",
  );
  t.is(judge({ ...inTime, isPauseLate: true, moves: 1 }), "late: moved");
  t.is(judge({ ...inTime, isPauseLate: true, attempts: 2 }), "late: cut and resumed");
  t.is(judge({ ...inTime, isPauseLate: true }), "late: pause");
  t.is(judge({ outcome: "no-room" }), "refused: no room");
  t.is(judge({ outcome: "limited" }), "refused: limits of endpoints");
  t.is(judge({ outcome: "resting" }), "refused: endpoints asked for rest");
  t.is(judge({ outcome: "outcome-unknown" }), "failed: cut and not resumed");
  t.is(judge({ outcome: "status 500" }), "failed: endpoint's failure");
  t.is(judge({ reason: "stale-configuration" }, "request-refused"), "refused: keys not fresh");
  t.is(judge({ reason: "unknown-key" }, "request-refused"), "refused: key or route unknown");
  t.is(judge({}, "endpoint-gone"), undefined);
});

test("requests count in the span in which they arrived", (t) => {
  const lines = [
    create(0, {}, "instance-started"),
    create(3, { ...inTime, route: "r", tookMs: 2_500 }),
    create(3, { ...inTime, route: "r", tookMs: 500 }),
    create(3.5, { outcome: "no-room", route: "r", tookMs: 0 }),
  ];
  t.deepEqual(formatLosses(countLosses(lines, 2)), [
    "     0 s  in time 1",
    "     2 s  in time 1, refused: no room 1",
    " total  in time 2, refused: no room 1",
  ]);
});
