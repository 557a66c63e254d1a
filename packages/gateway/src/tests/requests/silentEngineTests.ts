/** Streams whose engines fall silent and may go on. */
import { utils } from "@shedtiller/common";
import test, { type ExecutionContext } from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { callerHeaders, generousMs, setUp } from "./endpointHandlers.js";
import type { GatewayFixture, ReceivedAnswer } from "./GatewayFixture.js";
import { ScriptedEngine, toEvents, type ScriptedRun } from "./ScriptedEngine.js";

const allLayers = { layers: [{ start: 0, end: 4 }] };
/** A silence after which callers still wait. */
const silenceMs = 1_500;

interface SilentStream {
  readonly fixture: GatewayFixture;
  readonly engines: readonly ScriptedEngine[];
  readonly received: Promise<ReceivedAnswer>;
  readonly run: ScriptedRun;
}

/** Starts a stream whose engine sends two events and then falls silent. */
async function startSilentStream(
  t: ExecutionContext,
  changes: Partial<Route>,
  engineCount = 2,
): Promise<SilentStream> {
  const fixture = await setUp(t, { kind: "streaming", isResumable: true, ...changes });
  const engines = Array.from({ length: engineCount }, () => new ScriptedEngine());
  await fixture.list(
    engines.map(({ handle }) => handle),
    allLayers,
  );
  const received = fixture.request("POST", callerHeaders);
  await utils.waitUntil(() => engines.some(({ runs }) => runs.length > 0), generousMs);
  const run = engines.flatMap(({ runs }) => runs)[0] as ScriptedRun;
  run.send(2);
  await utils.waitUntil(() => fixture.monitor?.attempts[0]?.progress.events === 2, generousMs);
  return { fixture, engines, received, run };
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
