/** Benchmark of admission by priority class at 0.8, 1.5 and 3 times the capacity, compared with a FIFO queue. */
import { FifoAdmission } from "@shedtiller/admission";
import { utils } from "@shedtiller/common";
import { PipelineQueues } from "@shedtiller/entry";
import { getHardwareBound } from "@shedtiller/placement";
import { EndpointDirectory } from "@shedtiller/routing";
import { Fleet } from "../fleet/Fleet.js";
import type { FleetEngine, FleetStructure } from "../fleet/FleetStructure.js";
import type { BenchReport } from "./BenchReport.js";
import { createLargeEngine, model } from "./createLargeEngine.js";
import { runOpenLoop, type OpenLoopReport } from "./OpenLoop.js";

const layerCount = 32;
const loads = [0.8, 1.5, 3];
const durationMs = 5_000;
const outputTokens = 16;
const promptTokens = 8;
const stepMs = 30;
const slots = 6;
/** Concurrent streams per slot in the baseline, which is also the initial value of the admission by priority class. */
const baselineStreamsPerSlot = 1.25;
const shares: Readonly<Record<string, number>> = { first: 0.2, second: 0.3, third: 0.5 };
/** Maximum time to the first token of an answer that counts as goodput. */
const maxFirstTokenMs = 2_000;

/** Runs the benchmark. */
export async function runOverload(report: BenchReport, seed: number): Promise<void> {
  for (const isPriorityBased of [false, true])
    for (const load of loads) await measure(report, seed, load, isPriorityBased);
}

function createStructure(): FleetStructure {
  const zone = "east-plant";
  const engines = ["g1", "g2", "g3", "g4"].map((name, index): FleetEngine => {
    const layers: [number, number] = index % 2 === 0 ? [0, 16] : [16, 32];
    const speed = { stepMs, prefillMsPerToken: 0.2, slots };
    return createLargeEngine(name, zone, layers, speed);
  });
  return {
    availabilityZones: [zone],
    instances: ["e1", "e2", "e3", "e4"].map((name) => ({ name, availabilityZone: zone })),
    endpoints: engines,
    services: [],
    clientAccounts: Object.keys(shares).map((name, index) => ({ name, priority: index + 1 })),
  };
}

async function measure(
  report: BenchReport,
  seed: number,
  load: number,
  isPriorityBased: boolean,
): Promise<void> {
  const structure = createStructure();
  const fleet = new Fleet(structure, { isSilent: true, seed });
  if (!isPriorityBased)
    fleet.addContainerHook((container) => {
      const limit =
        (slots * structure.endpoints.length * baselineStreamsPerSlot) / structure.instances.length;
      const queues = new PipelineQueues(
        container.get(EndpointDirectory),
        () => new FifoAdmission(() => limit),
      );
      container.rebind(PipelineQueues).toConstantValue(queues);
    });
  await fleet.start();
  const engines = structure.endpoints.map(({ name, availabilityZone, layers }) => {
    const layersPerSecond = (slots * (layers[1] - layers[0]) * utils.msPerSecond) / stepMs;
    return { name, availabilityZone, layersPerSecond, memoryLayers: layerCount };
  });
  const tokensPerSecond = getHardwareBound(engines, layerCount) * load;
  const workloads = Object.entries(shares).map(([account, share]) => {
    return {
      account,
      requestsPerSecond: (tokensPerSecond / outputTokens) * share,
      promptTokens,
      outputTokens,
    };
  });
  const reports = await runOpenLoop(fleet, model, layerCount, workloads, durationMs, seed);
  await fleet.close();
  const variant = `${isPriorityBased ? "ours" : "first come"}, ${load} x`;
  for (const account of Object.keys(shares)) addAccountFigures(report, variant, account, reports);
  const timelyAnswers = reports.filter(
    (r) => r.outcome === "answered" && (r.firstTokenMs ?? Infinity) <= maxFirstTokenMs,
  );
  report.add(
    variant,
    "goodput ÷ capacity",
    (timelyAnswers.length * outputTokens) / ((durationMs / utils.msPerSecond) * (tokensPerSecond / load)),
    "",
  );
  report.add(variant, "refused", reports.filter((r) => r.outcome === "refused-not-run").length, "");
  report.add(
    variant,
    "other",
    reports.filter((r) => !["answered", "refused-not-run"].includes(r.outcome)).length,
    "",
  );
}

function addAccountFigures(
  report: BenchReport,
  variant: string,
  account: string,
  reports: readonly OpenLoopReport[],
): void {
  const own = reports.filter((r) => r.account === account);
  const answered = own.filter((r) => r.outcome === "answered");
  const firstTokensMs = answered.map((r) => r.firstTokenMs ?? Number.NaN);
  report.add(variant, `${account} first token p95`, utils.getQuantile(firstTokensMs, 0.95), "ms");
  report.add(variant, `${account} answered`, answered.length / Math.max(1, own.length), "");
}
