/** Streams whose engines fall silent and may go on. */
import { utils } from "@shedtiller/common";
import test, { type ExecutionContext } from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { FakeEngines } from "../FakeEngines.js";
import { callerHeaders, generousMs, recordRequests, setUp } from "./endpointHandlers.js";
import type { GatewayFixture, ReceivedAnswer } from "./GatewayFixture.js";
import { ScriptedEngine, toEvents, type ScriptedRun } from "./ScriptedEngine.js";

const allLayers = { layers: [{ start: 0, end: 4 }] };
/** A silence after which callers still wait. */
const silenceMs = 1_500;
const checkIntervalMs = 50;

interface SilentStream {
  readonly fixture: GatewayFixture;
  /** All engines, with their runs in the order of their starts. */
  readonly engine: ScriptedEngine;
  readonly received: Promise<ReceivedAnswer>;
  readonly run: ScriptedRun;
}

/** Resolves with a run once it has started. */
async function waitForRun({ runs }: ScriptedEngine, index: number): Promise<ScriptedRun> {
  await utils.waitUntil(() => runs.length > index, generousMs);
  return runs[index] as ScriptedRun;
}

/** Starts a stream whose engine sends two events and then falls silent. */
async function startSilentStream(
  t: ExecutionContext,
  changes: Partial<Route>,
  engineCount = 2,
): Promise<SilentStream> {
  const fixture = await setUp(t, { kind: "streaming", isResumable: true, ...changes }, new FakeEngines());
  const engine = new ScriptedEngine();
  await fixture.list(
    Array.from({ length: engineCount }, () => engine.handle),
    allLayers,
  );
  const received = fixture.request("POST", callerHeaders);
  const run = await waitForRun(engine, 0);
  run.send(2);
  await utils.waitUntil(() => fixture.monitor?.attempts[0]?.progress.events === 2, generousMs);
  return { fixture, engine, received, run };
}

/** Lets all running streams appear silent, and checks them. */
async function checkSilent({ fixture }: SilentStream): Promise<void> {
  const { monitor } = fixture;
  for (const attempt of monitor?.attempts ?? []) attempt.lastActivityAtMs -= silenceMs;
  await monitor?.check();
}

// Guards against streams that are cut although their engines would have gone on: the run was given up before another attempt was certain.
test("a stream without another attempt is not cut while its engine is silent", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 1 });
  await checkSilent(stream);
  stream.run.finish(2);
  const { body, isWhole } = await stream.received;
  t.true(isWhole);
  t.is(body, toEvents(4));
});

// Guards against the same cut where the route allows an attempt, but no other engine can take the stream.
test("a stream is not cut while its engine is silent and no other engine exists", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 2 }, 1);
  await checkSilent(stream);
  t.false(stream.run.isCut);
  stream.run.finish(2);
  const { body, isWhole } = await stream.received;
  t.true(isWhole);
  t.is(body, toEvents(4));
});

// Guards against callers that have received nothing and wait for a silent engine until it is too late to send the request elsewhere.
test("a caller that has received nothing gets a failure if its silent run can't have a successor", async (t) => {
  const fixture = await setUp(t, { kind: "streaming", isResumable: true, maxAttempts: 1 }, new FakeEngines());
  const engine = recordRequests(() => undefined);
  await fixture.list([engine, engine], allLayers);
  const received = fixture.request("POST", callerHeaders);
  await utils.waitUntil(() => engine.requests.length > 0, generousMs);
  for (const attempt of fixture.monitor?.attempts ?? []) attempt.lastActivityAtMs -= silenceMs;
  for (const endpoint of fixture.endpoints.getAll()) endpoint.heardAtMs = utils.monotonicMs() + generousMs;
  await fixture.monitor?.check();
  const { status, isWhole } = await received;
  t.is(status, 502);
  t.true(isWhole);
  t.is(engine.requests.length, 1);
});

test("the successor of a silent run goes on after the last event, and then the silent run ends", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 2 });
  await checkSilent(stream);
  const successor = await waitForRun(stream.engine, 1);
  const [first, second] = stream.fixture.monitor?.attempts ?? [];
  t.not(first?.endpointId, second?.endpointId);
  t.false(stream.run.isCut);
  successor.send(1);
  await utils.waitUntil(() => stream.run.isCut, generousMs);
  successor.finish(1);
  const { body, isWhole } = await stream.received;
  t.true(isWhole);
  t.is(body, toEvents(4));
});

test("a silent run that goes on before its successor does ends the successor", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 2 });
  await checkSilent(stream);
  const successor = await waitForRun(stream.engine, 1);
  stream.run.send(1);
  await utils.waitUntil(() => successor.isCut, generousMs);
  t.false(stream.run.isCut);
  stream.run.finish(1);
  const { body, isWhole } = await stream.received;
  t.true(isWhole);
  t.is(body, toEvents(4));
});

test("a silent run is kept when its successor breaks off", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 2 });
  await checkSilent(stream);
  const successor = await waitForRun(stream.engine, 1);
  successor.breakOff();
  await utils.waitUntil(() => stream.fixture.monitor?.size === 1, generousMs);
  t.false(stream.run.isCut);
  stream.run.finish(2);
  const { body, isWhole } = await stream.received;
  t.true(isWhole);
  t.is(body, toEvents(4));
});

test("a successor goes on when the silent run breaks off first", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 2 });
  await checkSilent(stream);
  const successor = await waitForRun(stream.engine, 1);
  stream.run.breakOff();
  await utils.waitUntil(() => stream.fixture.monitor?.size === 1, generousMs);
  successor.finish(2);
  const { body, isWhole } = await stream.received;
  t.true(isWhole);
  t.is(body, toEvents(4));
});

test("an event that a silent run had begun is not joined with that of its successor", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 2 });
  stream.run.sendPart();
  const attempt = stream.fixture.monitor?.attempts[0];
  await checkSilent(stream);
  const successor = await waitForRun(stream.engine, 1);
  successor.finish(2);
  const { body, isWhole } = await stream.received;
  t.true(isWhole);
  t.is(body, toEvents(4));
  t.is(attempt?.givenUpFor, "replaced");
});

test("streams that are silent together continue at their successors", async (t) => {
  const stream = await startSilentStream(t, { maxAttempts: 2 });
  const second = stream.fixture.request("POST", { ...callerHeaders, "x-id": "r2" });
  const { engine, fixture } = stream;
  (await waitForRun(engine, 1)).send(2);
  await utils.waitUntil(() => fixture.monitor?.attempts[1]?.progress.events === 2, generousMs);
  for (const endpoint of fixture.endpoints.getAll()) endpoint.heardAtMs -= silenceMs;
  await checkSilent(stream);
  const successor = await waitForRun(engine, 2);
  successor.finish(2);
  // In a slow test the first successor may be too long ago to count when the other stream is checked, so checks are repeated.
  const checks = setInterval(() => void fixture.monitor?.check(), checkIntervalMs);
  (await waitForRun(engine, 3)).finish(2);
  clearInterval(checks);
  for (const { body, isWhole } of await Promise.all([stream.received, second])) {
    t.true(isWhole);
    t.is(body, toEvents(4));
  }
});
