/** The decision of the admission gates on streams, as callers observe it over real sockets. */
import { utils } from "@shedtiller/common";
import test from "ava";
import { AdmissionGate, type GateQuery, type GateRefusal } from "../../loadcontrol/AdmissionGate.js";
import { toLevelKey, UrgencyLevels } from "../../loadcontrol/UrgencyLevels.js";
import { DecisionLog } from "../../logs/DecisionLog.js";
import { SharedFigures } from "../../peers/SharedFigures.js";
import { SilentLogOutput } from "../SilentLogOutput.js";
import { FakeEngines } from "../FakeEngines.js";
import { answer, callerHeaders, generousMs, recordRequests, setUp } from "./endpointHandlers.js";
import type { EndpointHandler } from "./GatewayFixture.js";

const stream = { kind: "streaming", isResumable: true } as const;
const allLayers = { layers: [{ start: 0, end: 4 }] };
/** A silence after which a resumable stream may have a successor. */
const silenceMs = 1_500;

/** Rejects every request. */
class ClosedGate extends AdmissionGate {
  readonly queries: GateQuery[] = [];

  override getRefusal(query: GateQuery): GateRefusal {
    this.queries.push(query);
    return { reason: "account-share", retryAfterMs: 70, inputs: { level: 2 } };
  }
}

/** Admits every request, and records the rejections by others. */
class RecordingGate extends AdmissionGate {
  readonly retryTimesMs: number[] = [];
  areReturns = false;

  override getRefusal(): undefined {
    return undefined;
  }

  override isReturn(): boolean {
    return this.areReturns;
  }

  override noteRefused(_query: GateQuery, retryAfterMs: number): void {
    this.retryTimesMs.push(retryAfterMs);
  }
}

test("a stream that a gate rejects is not executed and has the gate's time to return", async (t) => {
  const fixture = await setUp(t, stream);
  const gate = new ClosedGate();
  fixture.gates.push(gate);
  const engine = recordRequests(answer(200, "ran"));
  await fixture.list([engine], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 503);
  t.is(received.headers["x-retry-after-ms"], "70");
  t.is(received.body, JSON.stringify({ error: "account-share" }));
  t.is(engine.requests.length, 0);
  const [query] = gate.queries;
  t.is(query?.accountName, "farm");
  t.is(query?.priority, 2, "the priority of the account precedes that of the route");
});

/** Rejects every request by urgency. */
function createClosedLevels(): UrgencyLevels {
  const figures = new SharedFigures(() => 0);
  const log = new DecisionLog(new SilentLogOutput(), () => 0);
  const getPriorities = () => new Map([["engines", [0, 2]]]);
  // The account "farm" of the requests is in one of the slices that are rejected.
  const random = () => 0;
  const nowMs = () => 0;
  const levels = new UrgencyLevels({
    figures,
    getPriorities,
    log,
    countChange: () => undefined,
    nowMs,
    random,
  });
  figures.update(new Map(), new Map([[toLevelKey("engines"), 4]]));
  return levels;
}

test("a stream behind the level is not executed, and gates learn of its rejection", async (t) => {
  const fixture = await setUp(t, { ...stream, targetLatencyMs: 8 });
  fixture.controls.levels = createClosedLevels();
  const gate = new RecordingGate();
  fixture.gates.push(gate);
  const engine = recordRequests(answer(200, "ran"));
  await fixture.list([engine], allLayers);
  const received = await fixture.request("POST", callerHeaders);
  t.is(received.status, 503);
  t.is(received.body, JSON.stringify({ error: "less-urgent" }));
  t.is(engine.requests.length, 0);
  t.deepEqual(gate.retryTimesMs, [Number(received.headers["x-retry-after-ms"])]);
});

test("a stream that returns after a rejection passes the level", async (t) => {
  const fixture = await setUp(t, stream);
  fixture.controls.levels = createClosedLevels();
  const gate = new RecordingGate();
  gate.areReturns = true;
  fixture.gates.push(gate);
  await fixture.list([answer(200, "id: 1\ndata: a\n\n")], allLayers);
  t.is((await fixture.request("POST", callerHeaders)).status, 200);
});

test("a stream that resumes after its first events passes the gates", async (t) => {
  const fixture = await setUp(t, stream);
  fixture.gates.push(new ClosedGate());
  await fixture.list([answer(200, "id: 2\ndata: b\n\n")], allLayers);
  const received = await fixture.request("POST", { ...callerHeaders, "x-last": "1" });
  t.is(received.status, 200);
});

// Guards against a silent run without a successor in overload, since its request counted as one that no engine had worked on.
test("the successor of a stream without events passes the level", async (t) => {
  const fixture = await setUp(t, { ...stream, targetLatencyMs: 8, maxAttempts: 2 }, new FakeEngines());
  const respond = answer(200, "id: 1\ndata: a\n\n");
  let arrived = 0;
  const handle: EndpointHandler = (...args) => {
    arrived += 1;
    if (arrived > 1) respond(...args);
  };
  await fixture.list([handle, handle], allLayers);
  const received = fixture.request("POST", callerHeaders);
  t.true(await utils.waitUntil(() => arrived === 1, generousMs));
  fixture.controls.levels = createClosedLevels();
  for (const attempt of fixture.monitor?.attempts ?? []) attempt.lastActivityAtMs -= silenceMs;
  await fixture.monitor?.check();
  t.true(await utils.waitUntil(() => arrived === 2, generousMs / 2));
  t.is((await received).status, 200);
});
