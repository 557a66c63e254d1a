/** Benchmark of the pause in a stream after the crash or the hang of a stage, compared with a lower bound, by failure detector. */
import { utils } from "@shedtiller/common";
import type { SilenceOptions } from "@shedtiller/pipeline";
import { createPrompt, sendModelRequest } from "../fleet/CallerClient.js";
import { Fleet } from "../fleet/Fleet.js";
import type { FleetEngine, FleetStructure } from "../fleet/FleetStructure.js";
import type { BenchReport } from "./BenchReport.js";
import { ClosedLoop } from "./ClosedLoop.js";
import { createLargeEngine, model } from "./createLargeEngine.js";

const layerCount = 32;
const zone = "east-plant";
const promptTokens = 96;
const stepMs = 10;
const prefillMsPerToken = 0.15;
const trials = 6;
const backgroundCallers = 4;
const warmUpMs = 2_000;
const downMs = 600;
const settleMs = 150;
const fixedTimeoutMs = 500;

const adaptive = { quantile: 0.99, floorMs: 5, probeFactor: 2, probeFloorMs: 8, callsPerProbe: 32 };
const fixed = {
  ...adaptive,
  factor: 0,
  floorMs: fixedTimeoutMs,
  probeFloorMs: fixedTimeoutMs,
  callsPerProbe: 0,
};

/** Compared failure detectors. The first one is the baseline, the last one is the default. */
const detectors: readonly { name: string; silence: SilenceOptions }[] = [
  { name: "fixed 500 ms", silence: fixed },
  { name: "p99 x 3", silence: { ...adaptive, factor: 3 } },
  { name: "p99 x 1.2", silence: { ...adaptive, factor: 1.2 } },
];

type Failure = "death" | "hang";

/** Runs the benchmark. */
export async function runRecovery(report: BenchReport, seed: number): Promise<void> {
  for (const { name, silence } of detectors) await measure(report, name, silence, seed, "hang");
  const defaultDetector = detectors[detectors.length - 1];
  if (defaultDetector !== undefined)
    await measure(report, defaultDetector.name, defaultDetector.silence, seed, "death");
}

function createEngine(name: string, layers: [number, number]): FleetEngine {
  const speed = { stepMs, prefillMsPerToken, slots: 8 };
  return createLargeEngine(name, zone, layers, speed);
}

function createStructure(): FleetStructure {
  return {
    availabilityZones: [zone],
    instances: [{ name: "e1", availabilityZone: zone }],
    endpoints: [createEngine("g1", [0, 16]), createEngine("g2", [16, 32]), createEngine("g3", [16, 32])],
    services: [],
    clientAccounts: [{ name: "crews", priority: 1 }],
  };
}

interface TrialResult {
  readonly pauseMs: number;
  readonly lowerBoundMs: number;
}

async function measure(
  report: BenchReport,
  detector: string,
  silence: SilenceOptions,
  seed: number,
  failure: Failure,
): Promise<void> {
  const fleet = new Fleet(createStructure(), { isSilent: true, seed, silence });
  await fleet.start();
  const address = await fleet.getCallerAddress("e1");
  const key = fleet.accountKeys.get("crews") ?? "";
  const load = { addresses: [address], key, model, layerCount, callers: backgroundCallers, seed };
  const background = new ClosedLoop({ ...load, promptTokens: 8, outputTokens: 60 });
  background.start();
  await utils.sleep(warmUpMs);
  const trialResults: TrialResult[] = [];
  const counters = fleet.requireInstance("e1").pipeline.counters;
  const probesBefore = counters.probes;
  const tokensBefore = counters.tokens;
  for (let trial = 0; trial < trials; trial++)
    trialResults.push(await runTrial(fleet, address, key, failure, trial));
  await background.stop();
  await fleet.close();
  const variant = `${failure}, ${detector}`;
  const pauses = trialResults.map((result) => result.pauseMs);
  const ratios = trialResults.map((result) => result.pauseMs / result.lowerBoundMs);
  for (const share of [0.5, 0.95])
    report.add(variant, `pause p${share * 100}`, utils.getQuantile(pauses, share), "ms");
  report.add(
    variant,
    "floor p50",
    utils.getQuantile(
      trialResults.map((result) => result.lowerBoundMs),
      0.5,
    ),
    "ms",
  );
  report.add(variant, "ratio p50", utils.getQuantile(ratios, 0.5), "");
  report.add(variant, "ratio p95", utils.getQuantile(ratios, 0.95), "");
  const probeCount = counters.probes - probesBefore;
  report.add(variant, "probes per 1000 tokens", (probeCount / (counters.tokens - tokensBefore)) * 1_000, "");
  report.add(variant, "wrong answers", background.reports.filter((r) => r.outcome === "wrong").length, "");
}

/** Crashes or hangs the second stage during a stream, and measures the longest gap between tokens of the stream. */
async function runTrial(
  fleet: Fleet,
  address: string,
  key: string,
  failure: Failure,
  trial: number,
): Promise<TrialResult> {
  const prompt = createPrompt(`trial${failure}${trial}`, promptTokens);
  const answer = sendModelRequest({ address, key, model, layerCount, prompt, outputTokens: 40 });
  await utils.sleep(400 + ((trial * 37) % 100));
  const engine = fleet.requireEngine(findSecondStage(fleet));
  if (failure === "death") await engine.kill();
  else engine.hang();
  const position = getStreamPosition(fleet, engine.name);
  await utils.sleep(downMs);
  if (failure === "death") await engine.restart();
  else engine.resume();
  const { tokenTimesMs } = await answer;
  const gaps = tokenTimesMs.slice(1).map((timeMs, index) => timeMs - (tokenTimesMs[index] ?? 0));
  const medianGapMs = utils.getQuantile(gaps, 0.5);
  await utils.sleep(settleMs);
  // A hang can't be distinguished from an ordinary step before the slowest ordinary step has passed. A closed link is detected at once.
  const detectionMs = failure === "death" ? 0 : utils.getQuantile(gaps, 0.9) / 2;
  const rebuildMs = stepMs + position * prefillMsPerToken;
  return { pauseMs: Math.max(...gaps) - medianGapMs, lowerBoundMs: detectionMs + rebuildMs };
}

/** Returns the engine that most recently ran a stage other than the first one in the newest trial. */
function findSecondStage(fleet: Fleet): string {
  const laterStages = getTrialExecutions(fleet).filter((execution) => execution.firstLayer > 0);
  return laterStages[laterStages.length - 1]?.endpoint ?? "g2";
}

function getStreamPosition(fleet: Fleet, endpoint: string): number {
  const executions = getTrialExecutions(fleet).filter((execution) => execution.endpoint === endpoint);
  const newest = executions[executions.length - 1];
  return newest === undefined ? promptTokens : newest.position + newest.count;
}

function getTrialExecutions(fleet: Fleet) {
  const ids = fleet.executionLog.getRequestIds();
  const isTrial = (id: string): boolean =>
    (fleet.executionLog.getExecutions(id)[0]?.count ?? 0) === promptTokens;
  const id = ids.filter(isTrial).pop() ?? "";
  return fleet.executionLog.getExecutions(id);
}
