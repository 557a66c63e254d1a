/** Stages whose engine falls silent and goes on: the silence alone must not end their work. */
import { results, utils } from "@shedtiller/common";
import { EndpointDirectory, ExpectedTimeChooser, type LayerRange } from "@shedtiller/routing";
import { Timeline } from "@shedtiller/timeline";
import test from "ava";
import { EngineConnector, type EngineLink } from "../../engine/EngineLink.js";
import { PipelineContext } from "../../request/PipelineContext.js";
import { PipelineRun } from "../../request/PipelineRun.js";
import { FakeEngine } from "./FakeEngine.js";

const layerCount = 8;
const maxTokens = 4;
const waitMs = 20_000;
const deadlineMs = 60_000;
const speed = { stepMs: 0.5, prefillMsPerToken: 0.02, slots: 8 };

class FakeConnector extends EngineConnector {
  constructor(readonly engines: ReadonlyMap<string, FakeEngine>) {
    super();
  }

  override getLink(endpoint: string): Promise<results.Result<EngineLink, never>> {
    return Promise.resolve(results.Ok(this.engines.get(endpoint) as FakeEngine));
  }
}

/** Engines by name, the run of one request on them, and the log of their calls. */
class Scene {
  readonly log: string[] = [];
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly directory = new EndpointDirectory();
  readonly context: PipelineContext;
  readonly tokens: number[] = [];
  readonly caller = new AbortController();

  constructor(ranges: Readonly<Record<string, LayerRange>>) {
    const entries = Object.entries(ranges);
    this.engines = new Map(
      entries.map(([name, layers]) => [
        name,
        new FakeEngine(name, layers, layers[1] === layerCount, this.log),
      ]),
    );
    this.directory.setListed(
      entries.map(([name]) => {
        return { name, role: "engine", availabilityZone: "z", address: name, state: "live" };
      }),
    );
    for (const name of this.engines.keys()) this.report(name);
    const random = new utils.RandomSource(5);
    this.context = new PipelineContext({
      availabilityZone: "z",
      directory: this.directory,
      connector: new FakeConnector(this.engines),
      chooser: new ExpectedTimeChooser(random),
      timeline: new Timeline("e1"),
      random,
    });
  }

  require(name: string): FakeEngine {
    return this.engines.get(name) as FakeEngine;
  }

  /** Gives the directory a report of an engine, by which it becomes available again. */
  report(name: string): void {
    const state = { activeStreams: 0, checksOrders: true, fencingToken: 0, state: "live" as const };
    const { layers } = this.require(name);
    const memory = { accelerator: "fake", memoryLayers: layerCount };
    this.directory.setReport(
      { name, ...memory, model: "m", version: "1", layers: [...layers], ...speed, ...state },
      true,
    );
  }

  /** Waits until the silence of an engine has been noticed. */
  waitUntilDoubted(name: string): Promise<boolean> {
    return utils.waitUntil(() => this.directory.getEntry(name)?.isUnreachable === true, waitMs);
  }

  waitForLogLine(line: string): Promise<boolean> {
    return utils.waitUntil(() => this.log.includes(line), waitMs);
  }

  run() {
    const request = { requestId: "r", model: "m", version: "1", layerCount, promptTokens: [1, 2, 3] };
    const limits = { maxTokens, priority: 1, deadlineMs: utils.monotonicMs() + deadlineMs };
    const run = new PipelineRun(this.context, { ...request, ...limits }, this.caller.signal);
    return run.run((token) => this.tokens.push(token));
  }
}

const expected = [3, 4, 5, 6];

function getError(outcome: Awaited<ReturnType<Scene["run"]>>): string {
  return outcome.err ? outcome.val.message : "";
}

// Guards against a run that gives up a silent engine although no other one can go on.
test("a silent engine without a replica is kept: its late reply continues the stream, and no stage is released or begins again", async (t) => {
  const scene = new Scene({ a: [0, 4], b: [4, 8] });
  scene.require("b").silentAtCall = 2;
  const outcome = scene.run();
  t.true(await scene.waitUntilDoubted("b"));
  scene.require("b").speak();
  t.is(getError(await outcome), "");
  t.deepEqual(scene.tokens, expected);
  const begun = new Set(scene.log.filter((line) => line.includes("begins")));
  t.deepEqual([...begun], ["a begins 1", "b begins 2"]);
  t.deepEqual(scene.log.slice(-2), ["a released 1", "b released 2"]);
});

// Guards against a run that releases the silent engine before it knows that the replica takes the work.
test("a replica that refuses the call does not end the silent stage, whose late reply continues the stream", async (t) => {
  const scene = new Scene({ a: [0, 4], b1: [4, 8], b2: [4, 8] });
  scene.directory.markUnreachable("b2");
  scene.require("b2").isFull = true;
  scene.require("b1").silentAtCall = 2;
  scene.require("b1").onSilent = () => scene.report("b2");
  const outcome = scene.run();
  t.true(await scene.waitForLogLine("b2 begins 3"));
  scene.require("b1").speak();
  t.is(getError(await outcome), "");
  t.deepEqual(scene.tokens, expected);
  const end = scene.log.lastIndexOf("b1 replies 2");
  t.false(scene.log.slice(0, end).some((line) => /^(a|b1) released/.test(line)));
});

// Guards against a second run that costs more than it must, and against pieces of two runs in one stream.
test("a silent stage is released once its replica has replied, and not before", async (t) => {
  const scene = new Scene({ a: [0, 4], b1: [4, 8], b2: [4, 8] });
  scene.directory.markUnreachable("b2");
  scene.require("b1").silentAtCall = 2;
  scene.require("b1").onSilent = () => scene.report("b2");
  const outcome = scene.run();
  t.is(getError(await outcome), "");
  t.deepEqual(scene.tokens, expected);
  t.true(scene.log.indexOf("b1 released 2") > scene.log.indexOf("b2 replies 3"));
  scene.require("b1").speak();
  t.deepEqual(scene.tokens, expected);
});

// Guards against a chain that is released while the chain that takes over has produced nothing.
test("a chain with a silent stage is released once another chain has produced a token, and not before", async (t) => {
  const scene = new Scene({ a: [0, 4], b: [4, 8], w: [0, 8] });
  scene.directory.markUnreachable("w");
  scene.require("b").silentAtCall = 2;
  const outcome = scene.run();
  t.true(await scene.waitUntilDoubted("b"));
  scene.require("w").silentAtCall = 1;
  scene.report("w");
  t.true(await scene.waitForLogLine("w begins 3"));
  t.false(scene.log.some((line) => line.includes("released")));
  scene.require("w").speak();
  t.is(getError(await outcome), "");
  t.deepEqual(scene.tokens, expected);
  t.true(scene.log.indexOf("a released 1") > scene.log.indexOf("w replies 3"));
  t.true(scene.log.indexOf("b released 2") > scene.log.indexOf("w replies 3"));
});

// Guards against engines that compute for a caller that has left while their replies were awaited.
test("a caller that leaves ends all runs of its request at once, also those that are silent", async (t) => {
  const scene = new Scene({ a: [0, 4], b: [4, 8], w: [0, 8] });
  scene.directory.markUnreachable("w");
  scene.require("b").silentAtCall = 2;
  scene.require("w").silentAtCall = 1;
  const outcome = scene.run();
  t.true(await scene.waitUntilDoubted("b"));
  scene.report("w");
  t.true(await scene.waitForLogLine("w begins 3"));
  scene.caller.abort();
  const ended = await outcome;
  t.is(ended.err ? ended.val.code : "", "cancelled");
  t.true(await scene.waitForLogLine("w released 3"));
  for (const line of ["a released 1", "b released 2"]) t.true(scene.log.includes(line));
});
