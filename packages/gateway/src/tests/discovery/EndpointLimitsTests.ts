/** Which of the limits that an endpoint names holds. */
import test, { type ExecutionContext } from "ava";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createEngine } from "../testData.js";
import { RecordingSink } from "../RecordingSink.js";

class Scene {
  nowMs = 1_000;
  readonly endpoint: Endpoint = createEngine("a", 0, 4);
  readonly lines = new RecordingSink();
  readonly limits = new EndpointLimits({
    log: new DecisionLog(this.lines, () => this.nowMs),
    nowMs: () => this.nowMs,
  });

  /** An answer to a request that was sent `tookMs` ago. */
  name(perSecond: number | undefined, tookMs = 10): number | undefined {
    this.nowMs += 20;
    const stated =
      perSecond === undefined ? ({ kind: "none" } as const) : ({ kind: "named", perSecond } as const);
    this.limits.noteAnswer(this.endpoint, stated, this.nowMs - tookMs);
    return this.endpoint.limit?.perSecond;
  }
}

test("a limit holds from the answer that names it until one that names none", (t: ExecutionContext) => {
  const scene = new Scene();
  t.is(scene.name(undefined), undefined);
  t.is(scene.name(4.2), 4.2);
  t.is(scene.name(50), 50);
  t.is(scene.name(2), 2);
  t.is(scene.name(undefined), undefined);
  t.deepEqual(scene.lines.events, [
    "info endpoint-limit-began",
    "info endpoint-limit-changed",
    "info endpoint-limit-changed",
    "info endpoint-limit-ended",
  ]);
});

test("an answer that was on its way before the newest one neither ends nor raises a limit", (t) => {
  const scene = new Scene();
  scene.name(2);
  t.is(scene.name(undefined, 500), 2);
  t.is(scene.name(50, 500), 2);
  t.is(scene.name(1, 500), 1, "a lower one holds at once");
});

test("an answer that was on its way before a limit ended does not begin it again", (t) => {
  const scene = new Scene();
  scene.name(2);
  scene.name(undefined);
  t.is(scene.name(2, 500), undefined);
  t.is(scene.name(2), 2);
});

test("a limit that can't be read is logged as an error and changes nothing", (t) => {
  const scene = new Scene();
  scene.name(2);
  scene.limits.noteAnswer(scene.endpoint, { kind: "unreadable", text: "-1" }, scene.nowMs);
  t.is(scene.endpoint.limit?.perSecond, 2);
  t.is(scene.lines.events.at(-1), "error endpoint-limit-unreadable");
});

test("a report that names no limit ends none", (t) => {
  const scene = new Scene();
  scene.limits.noteReport(scene.endpoint, { kind: "named", perSecond: 3 }, scene.nowMs);
  scene.nowMs += 20;
  scene.limits.noteReport(scene.endpoint, { kind: "none" }, scene.nowMs);
  t.is(scene.endpoint.limit?.perSecond, 3);
});
