/** Whatever fails on the way, the answer is whole and right, and every layer ran once for each token. */
import { utils } from "@shedtiller/common";
import * as pipeline from "@shedtiller/pipeline";
import { ExpectedTimeChooser, type LayerRange } from "@shedtiller/routing";
import { Timeline } from "@shedtiller/timeline";
import test from "ava";
import * as fc from "fast-check";
import { getExpectedTokens } from "../engine/layerFunction.js";
import { FakeConnector, type CallFault, type PlannedFault } from "./FakeConnector.js";

const ranges: Record<string, LayerRange> = { a1: [0, 4], a2: [0, 4], b1: [4, 8], b2: [4, 8], w1: [0, 8] };
const prompt = [7, 8, 9, 10];
const outputTokens = 12;

function createContext(connector: FakeConnector, historyLimitBytes?: number): pipeline.PipelineContext {
  const random = new utils.RandomSource(3);
  return new pipeline.PipelineContext({
    availabilityZone: "z",
    directory: connector.directory,
    connector,
    chooser: new ExpectedTimeChooser(random),
    timeline: new Timeline("e1"),
    random,
    historyLimitBytes,
    silence: { ...pipeline.defaultSilenceOptions, floorMs: 10, probeFloorMs: 10 },
  });
}

async function runOne(
  connector: FakeConnector,
  context: pipeline.PipelineContext,
  requestId: string,
  changes: Partial<pipeline.PipelineRequest> = {},
) {
  const seen: number[] = [];
  const request = {
    requestId,
    model: "m",
    version: "1",
    layerCount: 8,
    promptTokens: prompt,
    maxTokens: outputTokens,
    priority: 1,
    deadlineMs: utils.monotonicMs() + 30_000,
    ...changes,
  };
  const run = new pipeline.PipelineRun(context, request, new AbortController().signal);
  const outcome = await run.run((token) => seen.push(token));
  return { outcome, seen };
}

function getFaults(connector: FakeConnector, requestId: string): string[] {
  return connector.applications.findViolations(requestId, 8, prompt.length + outputTokens - 1);
}

const expected = getExpectedTokens(prompt, 8, outputTokens);

for (const fault of ["dies", "hangs", "reply-lost", "reply-doubled", "reply-late", "refuses"] as const) {
  test(`a stage that ${fault}: the answer is whole, once and right`, async (t) => {
    const faults = ["a1", "a2", "b1", "b2", "w1"].map((endpoint) => ({ endpoint, atCall: 3, fault }));
    const connector = new FakeConnector(ranges, faults);
    const { outcome, seen } = await runOne(connector, createContext(connector), "r");
    t.is(outcome.err ? outcome.val.message : "", "");
    t.deepEqual(seen, expected);
    t.deepEqual(getFaults(connector, "r"), []);
  });
}

test("a lost reply is read from the engine's standing, and the stage is kept", async (t) => {
  const connector = new FakeConnector({ a1: [0, 4], b1: [4, 8] }, [
    { endpoint: "b1", atCall: 4, fault: "reply-lost" },
  ]);
  const context = createContext(connector);
  const { seen } = await runOne(connector, context, "r");
  t.deepEqual(seen, expected);
  t.is(context.counters.stagesLost, 0);
  t.true(context.counters.probes > 0);
});

test("without kept activations a lost stage restarts the chain, and the answer stays the same", async (t) => {
  const connector = new FakeConnector(ranges, [
    { endpoint: "b1", atCall: 5, fault: "dies" },
    { endpoint: "b2", atCall: 5, fault: "dies" },
    { endpoint: "w1", atCall: 5, fault: "dies" },
  ]);
  const context = createContext(connector, 0);
  const { seen } = await runOne(connector, context, "r");
  t.deepEqual(seen, expected);
  t.true(context.counters.chainsRestarted > 0);
  t.deepEqual(getFaults(connector, "r"), []);
});

const kinds: readonly CallFault[] = ["dies", "hangs", "reply-lost", "reply-doubled", "reply-late", "refuses"];
const plannedFault: fc.Arbitrary<PlannedFault> = fc.record({
  endpoint: fc.constantFrom(...Object.keys(ranges)),
  atCall: fc.integer({ min: 1, max: 20 }),
  fault: fc.constantFrom(...kinds),
});

test("random fault schedules over several requests: no token changed, none doubled, none missing", async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(plannedFault, { maxLength: 8 }), async (faults) => {
      const connector = new FakeConnector(ranges, faults);
      const context = createContext(connector);
      const ids = ["r1", "r2", "r3"];
      const outcomes = await Promise.all(ids.map((id) => runOne(connector, context, id)));
      for (const { seen } of outcomes) t.deepEqual(seen, expected);
      for (const id of ids) t.deepEqual(getFaults(connector, id), []);
    }),
    { seed: 20_261_202, numRuns: 40 },
  );
});

test("a refusal before anything was written says so; one after does not", async (t) => {
  const connector = new FakeConnector({ a1: [0, 4] }, []);
  const { outcome } = await runOne(connector, createContext(connector), "r");
  t.true(outcome.err && outcome.val.ran === "no");
  const cut = new AbortController();
  const whole = new FakeConnector(ranges, []);
  const request = {
    requestId: "c",
    model: "m",
    version: "1",
    layerCount: 8,
    promptTokens: prompt,
    maxTokens: 50,
    priority: 1,
  };
  const run = new pipeline.PipelineRun(
    createContext(whole),
    { ...request, deadlineMs: utils.monotonicMs() + 9_000 },
    cut.signal,
  );
  const cancelled = await run.run((_token, _isEnd) => cut.abort());
  t.true(cancelled.err && cancelled.val.ran === "unknown");
});

/** A request of version "1" while engines are to hold "2"; its deadline is that of an entry instance. */
const replacedVersion: Partial<pipeline.PipelineRequest> = {
  versions: { isReplaced: (held) => held === "1", changeVersion: () => "2" },
  deadlineMs: utils.monotonicMs() + 120_000,
};

/** Lets both engines of a chain go over to version "2" once the request has `tokens` tokens, and gives how it ended. */
async function runThroughRollout(
  tokens: number,
): Promise<{ seen: number[]; isOk: boolean; version: string }> {
  const connector = new FakeConnector({ a1: [0, 4], b1: [4, 8] }, [
    { endpoint: "b1", atCall: tokens + 1, fault: "dies" },
  ]);
  const { directory } = connector;
  const takeReport = directory.setReport.bind(directory);
  const markUnreachable = directory.markUnreachable.bind(directory);
  let version = "1";
  directory.setReport = (report, isDirect) => takeReport({ ...report, version }, isDirect);
  const goOver = (): void => {
    version = "2";
    for (const { report } of directory.getEntries())
      if (report !== undefined) takeReport({ ...report, version }, true);
  };
  directory.markUnreachable = (name) => {
    goOver();
    markUnreachable(name);
  };
  const { outcome, seen } = await runOne(connector, createContext(connector), "r", replacedVersion);
  return { seen, isOk: outcome.ok, version };
}

test("a stream whose version is gone before its first token goes on with the new one, whole and right", async (t) => {
  const { seen, isOk, version } = await runThroughRollout(0);
  t.is(version, "2");
  t.true(isOk);
  t.deepEqual(seen, expected);
});

test("a stream whose version is gone after some tokens ends at once, and not at its deadline", async (t) => {
  const { seen, isOk } = await runThroughRollout(3);
  t.false(isOk);
  t.deepEqual(seen, expected.slice(0, seen.length));
  t.true(seen.length > 0);
});

test("a request whose version is gone before anything was written begins on the new one", async (t) => {
  const connector = new FakeConnector({ a1: [0, 4], b1: [4, 8] }, []);
  const { directory } = connector;
  for (const { report } of directory.getEntries())
    if (report !== undefined) directory.setReport({ ...report, version: "2" }, true);
  const { outcome, seen } = await runOne(connector, createContext(connector), "r", replacedVersion);
  t.true(outcome.ok);
  t.deepEqual(seen, expected);
});
