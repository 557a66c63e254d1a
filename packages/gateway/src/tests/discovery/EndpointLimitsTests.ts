/** Tests which of the limits stated by an endpoint applies. */
import test, { type ExecutionContext } from "ava";
import type { Endpoint } from "../../discovery/Endpoint.js";
import { EndpointLimits } from "../../discovery/EndpointLimits.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { createEngine } from "../testData.js";
import { RecordingLogOutput } from "../RecordingLogOutput.js";

class Fixture {
  nowMs = 1_000;
  readonly endpoint: Endpoint = createEngine("a", 0, 4);
  readonly lines = new RecordingLogOutput();
  readonly limits = new EndpointLimits({
    log: new DecisionLog(this.lines, () => this.nowMs),
    nowMs: () => this.nowMs,
  });

  /** Applies the answer to a request that was sent `tookMs` ago, and returns the known limit. */
  state(perSecond: number | undefined, tookMs = 10): number | undefined {
    this.nowMs += 20;
    const stated =
      perSecond === undefined ? ({ kind: "none" } as const) : ({ kind: "named", perSecond } as const);
    this.limits.noteAnswer(this.endpoint, stated, this.nowMs - tookMs);
    return this.endpoint.limit?.perSecond;
  }
}

test("a limit applies from the answer that states it until an answer without a limit", (t: ExecutionContext) => {
  const fixture = new Fixture();
  t.is(fixture.state(undefined), undefined);
  t.is(fixture.state(4.2), 4.2);
  t.is(fixture.state(50), 50);
  t.is(fixture.state(2), 2);
  t.is(fixture.state(undefined), undefined);
  t.deepEqual(fixture.lines.events, [
    "info endpoint-limit-began",
    "info endpoint-limit-changed",
    "info endpoint-limit-changed",
    "info endpoint-limit-ended",
  ]);
});

test("an answer to an older request neither ends nor raises a limit", (t) => {
  const fixture = new Fixture();
  fixture.state(2);
  t.is(fixture.state(undefined, 500), 2);
  t.is(fixture.state(50, 500), 2);
  t.is(fixture.state(1, 500), 1, "a lower limit applies at once");
});

test("an answer to a request from before the end of a limit does not restore the limit", (t) => {
  const fixture = new Fixture();
  fixture.state(2);
  fixture.state(undefined);
  t.is(fixture.state(2, 500), undefined);
  t.is(fixture.state(2), 2);
});

test("a limit that can't be parsed is logged as an error and changes nothing", (t) => {
  const fixture = new Fixture();
  fixture.state(2);
  fixture.limits.noteAnswer(fixture.endpoint, { kind: "unreadable", text: "-1" }, fixture.nowMs);
  t.is(fixture.endpoint.limit?.perSecond, 2);
  t.is(fixture.lines.events.at(-1), "error endpoint-limit-unreadable");
});

test("a report without a limit does not end the limit", (t) => {
  const fixture = new Fixture();
  fixture.limits.noteReport(fixture.endpoint, { kind: "named", perSecond: 3 }, fixture.nowMs);
  fixture.nowMs += 20;
  fixture.limits.noteReport(fixture.endpoint, { kind: "none" }, fixture.nowMs);
  t.is(fixture.endpoint.limit?.perSecond, 3);
});
