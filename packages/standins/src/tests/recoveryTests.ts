/** Tests that answers are complete and correct under engine faults, and that every layer ran once for each token. */
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

async function runRequest(
  connector: FakeConnector,
  context: pipeline.PipelineContext,
  requestId: string,
  changes: Partial<pipeline.PipelineRequest> = {},
) {
  const received: number[] = [];
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
  const outcome = await run.run((token) => received.push(token));
  return { outcome, received };
}

function getViolations(connector: FakeConnector, requestId: string): string[] {
  return connector.executionLog.findViolations(requestId, 8, prompt.length + outputTokens - 1);
}

const expected = getExpectedTokens(prompt, 8, outputTokens);

for (const fault of ["dies", "hangs", "reply-lost", "reply-doubled", "reply-late", "refuses"] as const) {
  test(`stages with the fault "${fault}": the answer is complete and correct, with each layer run once`, async (t) => {
    const faults = ["a1", "a2", "b1", "b2", "w1"].map((endpoint) => ({ endpoint, atCall: 3, fault }));
    const connector = new FakeConnector(ranges, faults);
    const { outcome, received } = await runRequest(connector, createContext(connector), "r");
    t.is(outcome.err ? outcome.val.message : "", "");
    t.deepEqual(received, expected);
    t.deepEqual(getViolations(connector, "r"), []);
  });
}

test("a lost reply is recovered from the stage status of the engine, without rebuilding the stage", async (t) => {
  const connector = new FakeConnector({ a1: [0, 4], b1: [4, 8] }, [
    { endpoint: "b1", atCall: 4, fault: "reply-lost" },
  ]);
  const context = createContext(connector);
  const { received } = await runRequest(connector, context, "r");
  t.deepEqual(received, expected);
  t.is(context.counters.stagesLost, 0);
  t.true(context.counters.probes > 0);
});

test("without stored activations, a lost stage restarts the chain, and the answer is unchanged", async (t) => {
  const connector = new FakeConnector(ranges, [
    { endpoint: "b1", atCall: 5, fault: "dies" },
    { endpoint: "b2", atCall: 5, fault: "dies" },
    { endpoint: "w1", atCall: 5, fault: "dies" },
  ]);
  const context = createContext(connector, 0);
  const { received } = await runRequest(connector, context, "r");
  t.deepEqual(received, expected);
  t.true(context.counters.chainsRestarted > 0);
  t.deepEqual(getViolations(connector, "r"), []);
});

const kinds: readonly CallFault[] = ["dies", "hangs", "reply-lost", "reply-doubled", "reply-late", "refuses"];
const plannedFault: fc.Arbitrary<PlannedFault> = fc.record({
  endpoint: fc.constantFrom(...Object.keys(ranges)),
  atCall: fc.integer({ min: 1, max: 20 }),
  fault: fc.constantFrom(...kinds),
});

test("random fault schedules over concurrent requests change, repeat and lose no token", async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(plannedFault, { maxLength: 8 }), async (faults) => {
      const connector = new FakeConnector(ranges, faults);
      const context = createContext(connector);
      const ids = ["r1", "r2", "r3"];
      const outcomes = await Promise.all(ids.map((id) => runRequest(connector, context, id)));
      for (const { received } of outcomes) t.deepEqual(received, expected);
      for (const id of ids) t.deepEqual(getViolations(connector, id), []);
    }),
    { seed: 20_261_202, numRuns: 40 },
  );
});

test("a failure before any token was written states that nothing ran; a later failure does not", async (t) => {
  const connector = new FakeConnector({ a1: [0, 4] }, []);
  const { outcome } = await runRequest(connector, createContext(connector), "r");
  t.true(outcome.err && outcome.val.ran === "no");
  const abortController = new AbortController();
  const completeConnector = new FakeConnector(ranges, []);
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
    createContext(completeConnector),
    { ...request, deadlineMs: utils.monotonicMs() + 9_000 },
    abortController.signal,
  );
  const cancelled = await run.run((_token, _isEnd) => abortController.abort());
  t.true(cancelled.err && cancelled.val.ran === "unknown");
});

/** Settings of a request that starts with version "1" while "2" replaces it. The deadline is the default of an entry instance. */
const replacedVersion: Partial<pipeline.PipelineRequest> = {
  versions: { isReplaced: (version) => version === "1", changeVersion: () => "2" },
  deadlineMs: utils.monotonicMs() + 120_000,
};

/** Runs a request, switches both engines of the chain to version "2" after `tokens` tokens, and returns the outcome. */
async function runThroughRollout(
  tokens: number,
): Promise<{ received: number[]; isOk: boolean; version: string }> {
  const connector = new FakeConnector({ a1: [0, 4], b1: [4, 8] }, [
    { endpoint: "b1", atCall: tokens + 1, fault: "dies" },
  ]);
  const { directory } = connector;
  const setReport = directory.setReport.bind(directory);
  const markUnreachable = directory.markUnreachable.bind(directory);
  let version = "1";
  directory.setReport = (report, isDirect) => setReport({ ...report, version }, isDirect);
  const switchVersion = (): void => {
    version = "2";
    for (const { report } of directory.getEntries())
      if (report !== undefined) setReport({ ...report, version }, true);
  };
  directory.markUnreachable = (name) => {
    switchVersion();
    markUnreachable(name);
  };
  const { outcome, received } = await runRequest(connector, createContext(connector), "r", replacedVersion);
  return { received, isOk: outcome.ok, version };
}

test("a stream whose version is replaced before its first token continues with the new version, complete and correct", async (t) => {
  const { received, isOk, version } = await runThroughRollout(0);
  t.is(version, "2");
  t.true(isOk);
  t.deepEqual(received, expected);
});

test("a stream whose version is replaced after some tokens ends at once, and not at its deadline", async (t) => {
  const { received, isOk } = await runThroughRollout(3);
  t.false(isOk);
  t.deepEqual(received, expected.slice(0, received.length));
  t.true(received.length > 0);
});

test("a request whose version is replaced before any token was written starts with the new version", async (t) => {
  const connector = new FakeConnector({ a1: [0, 4], b1: [4, 8] }, []);
  const { directory } = connector;
  for (const { report } of directory.getEntries())
    if (report !== undefined) directory.setReport({ ...report, version: "2" }, true);
  const { outcome, received } = await runRequest(connector, createContext(connector), "r", replacedVersion);
  t.true(outcome.ok);
  t.deepEqual(received, expected);
});
