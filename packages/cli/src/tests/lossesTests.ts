/** `shedtiller losses` counts requests by how they ended, with the reason why some were not served in time. */
import test from "ava";
import type { LogLine } from "../explain/logLine.js";
import { countLosses, formatLosses } from "../losses/countLosses.js";
import { classifyEnd } from "../losses/classifyEnd.js";

function createLine(second: number, fields: object, message = "request-ended"): LogLine {
  const timestamp = new Date(1_700_000_000_000 + second * 1_000).toISOString();
  return { level: "info", message, instance: "a", timestamp, ...fields };
}

const inTime = { outcome: "completed", attempts: 1, isFirstEventLate: false, isPauseLate: false };

test("each line that ends a request is classified by its outcome or reason", (t) => {
  const classify = (fields: object, message?: string): string | undefined =>
    classifyEnd(createLine(0, fields, message));
  t.is(classify(inTime), "in time");
  t.is(classify({ outcome: "status 200" }), "in time");
  t.is(
    classify({ ...inTime, isFirstEventLate: true, queuedMs: 400, firstEventMs: 600 }),
    "late: waited for room",
  );
  t.is(
    classify({ ...inTime, isFirstEventLate: true, queuedMs: 10, firstEventMs: 600 }),
    "late: slow first event",
  );
  t.is(classify({ ...inTime, isPauseLate: true, moves: 1 }), "late: moved");
  t.is(classify({ ...inTime, isPauseLate: true, attempts: 2 }), "late: cut and resumed");
  t.is(classify({ ...inTime, isPauseLate: true }), "late: pause");
  t.is(classify({ outcome: "no-room" }), "refused: no room");
  t.is(classify({ outcome: "less-urgent" }), "refused: less urgent");
  t.is(classify({ reason: "account-share" }, "request-refused"), "refused: account's share");
  t.is(classify({ reason: "overloaded" }, "request-refused"), "refused: instance overloaded");
  t.is(classify({ outcome: "limited" }), "refused: limits of endpoints");
  t.is(classify({ outcome: "resting" }), "refused: endpoints asked for rest");
  t.is(classify({ outcome: "isolated" }), "refused: no endpoint in reach");
  t.is(classify({ outcome: "outcome-unknown" }), "failed: cut and not resumed");
  t.is(classify({ outcome: "status 500" }), "failed: endpoint's failure");
  t.is(classify({ reason: "stale-configuration" }, "request-refused"), "refused: keys not fresh");
  t.is(classify({ reason: "unknown-key" }, "request-refused"), "refused: key or route unknown");
  t.is(classify({}, "endpoint-gone"), undefined);
});

test("requests count in the time span in which they arrived", (t) => {
  const lines = [
    createLine(0, {}, "instance-started"),
    createLine(3, { ...inTime, route: "r", tookMs: 2_500 }),
    createLine(3, { ...inTime, route: "r", tookMs: 500 }),
    createLine(3.5, { outcome: "no-room", route: "r", tookMs: 0 }),
  ];
  t.deepEqual(formatLosses(countLosses(lines, 2)), [
    "     0 s  in time 1",
    "     2 s  in time 1, refused: no room 1",
    " total  in time 2, refused: no room 1",
  ]);
});
