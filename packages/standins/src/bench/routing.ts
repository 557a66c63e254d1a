/** Benchmark of all chain choosers at 85% load over eight entry instances, with outdated load reports. */
import { FifoAdmission } from "@shedtiller/admission";
import { utils } from "@shedtiller/common";
import { PipelineQueues } from "@shedtiller/entry";
import * as routing from "@shedtiller/routing";
import { Fleet } from "../fleet/Fleet.js";
import type { FleetEngine, FleetStructure } from "../fleet/FleetStructure.js";
import type { BenchReport } from "./BenchReport.js";
import { runOpenLoop } from "./OpenLoop.js";

const model = "assistant";
const layerCount = 32;
const lagsMs = [100, 2_000];
const durationMs = 4_500;
const load = 0.85;
const outputTokens = 20;
const slots = 4;
const stepTimesMs = [16, 16, 32, 32];
const zone = "east-plant";

type ChooserFactory = (random: utils.RandomSource) => routing.ChainChooser;

const choosers: readonly ChooserFactory[] = [
  (random) => new routing.RandomChooser(random),
  () => new routing.RoundRobinChooser(),
  () => new routing.LeastReportedChooser(),
  (random) => new routing.TwoChoicesChooser(random),
  (random) => new routing.ExpectedTimeChooser(random),
];

/** Runs the benchmark. */
export async function runRouting(report: BenchReport, seed: number): Promise<void> {
  for (const lagMs of lagsMs) for (const create of choosers) await measure(report, seed, lagMs, create);
}

function createStructure(): FleetStructure {
  const endpoints = stepTimesMs.flatMap((stepMs, index) =>
    [0, 16].map((first): FleetEngine => {
      const speed = { stepMs, prefillMsPerToken: 0.1, slots };
      const loaded = { model, version: "1", layers: [first, first + 16] as [number, number] };
      return {
        name: `g${index}${first}`,
        availabilityZone: zone,
        accelerator: `${stepMs} ms`,
        ...loaded,
        ...speed,
        checksOrders: true,
      };
    }),
  );
  return {
    availabilityZones: [zone],
    instances: Array.from({ length: 8 }, (_value, index) => ({
      name: `e${index + 1}`,
      availabilityZone: zone,
    })),
    endpoints,
    services: [],
    clientAccounts: [{ name: "crews", priority: 1 }],
  };
}

async function measure(
  report: BenchReport,
  seed: number,
  lagMs: number,
  create: ChooserFactory,
): Promise<void> {
  const fleet = new Fleet(createStructure(), { isSilent: true, seed, reportLagMs: lagMs });
  let name = "";
  fleet.addContainerHook((container) => {
    const chooser = create(new utils.RandomSource(seed + fleet.instances.size));
    name = chooser.name;
    container.rebind(routing.ChainChooser).toConstantValue(chooser);
    // Every request starts without queueing, so that differences result only from the chooser.
    const queues = new PipelineQueues(
      container.get(routing.EndpointDirectory),
      () => new FifoAdmission(() => Infinity),
    );
    container.rebind(PipelineQueues).toConstantValue(queues);
  });
  await fleet.start();
  const capacity = utils.getSum(stepTimesMs.map((stepMs) => (slots * utils.msPerSecond) / stepMs));
  const requestsPerSecond = (capacity * load) / outputTokens;
  const workloads = [{ account: "crews", requestsPerSecond, promptTokens: 8, outputTokens }];
  const reports = await runOpenLoop(fleet, model, layerCount, workloads, durationMs, seed);
  await fleet.close();
  const totals = reports.filter((r) => r.outcome === "answered").map((r) => r.totalMs);
  const variant = `${name}, lag ${lagMs} ms`;
  for (const share of [0.5, 0.95, 0.99])
    report.add(variant, `total p${share * 100}`, utils.getQuantile(totals, share), "ms");
  report.add(variant, "requests", reports.length, "");
  report.add(variant, "not answered", reports.length - totals.length, "");
}
