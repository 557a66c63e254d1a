/** Benchmark of throughput at saturation in relation to the hardware bound, on mixed accelerators with one and eight entry instances. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import { Fleet } from "../fleet/Fleet.js";
import type { FleetEngine, FleetStructure } from "../fleet/FleetStructure.js";
import type { BenchReport } from "./BenchReport.js";
import { ClosedLoop } from "./ClosedLoop.js";

const layerCount = 32;
const model = "assistant";
const zones = ["east-plant", "west-plant", "harbor-depot"];
const warmUpMs = 3_000;
const measureMs = 8_000;
const callersPerSlot = 2;

/** Kinds of accelerators: step time for one layer, slots, and memory in layers. */
const kinds = [
  { accelerator: "xl", layerMs: 1.5, slots: 12, memoryLayers: 32 },
  { accelerator: "large", layerMs: 2.4, slots: 10, memoryLayers: 24 },
  { accelerator: "medium", layerMs: 3.6, slots: 8, memoryLayers: 20 },
  { accelerator: "small", layerMs: 4.8, slots: 6, memoryLayers: 16 },
  { accelerator: "tiny", layerMs: 7.2, slots: 4, memoryLayers: 12 },
];
/** Accelerators of each zone, as indexes into `kinds`. */
const zoneKinds = [
  [0, 2, 3],
  [1, 1, 4],
  [2, 2, 3, 4],
];

type AcceleratorKind = (typeof kinds)[number];

interface PooledEngine {
  readonly name: string;
  readonly availabilityZone: string;
  readonly kind: AcceleratorKind;
}

/** Runs the benchmark. */
export async function runThroughput(report: BenchReport, seed: number): Promise<void> {
  for (const entryCount of [1, 8]) await measure(report, seed, entryCount);
}

/** Returns the structure of a fleet on mixed accelerators with a planned placement, its planned throughput and the hardware bound. */
export function createPlannedStructure(entries: number): {
  structure: FleetStructure;
  planned: number;
  bound: number;
} {
  const pool: PooledEngine[] = zoneKinds.flatMap((indexes, zone) =>
    indexes.map((kind, index) => ({
      name: `g${zone + 1}${index + 1}`,
      availabilityZone: zones[zone] ?? "",
      kind: kinds[kind] as AcceleratorKind,
    })),
  );
  const engines = pool.map(toPlacementEngine);
  const ranges = placement.planPlacement(engines, layerCount);
  const structure: FleetStructure = {
    availabilityZones: zones,
    instances: Array.from({ length: entries }, (_value, index) => ({
      name: `e${index + 1}`,
      availabilityZone: zones[index % zones.length] ?? "",
    })),
    endpoints: pool.flatMap((pooled) => toFleetEngine(pooled, ranges.get(pooled.name))),
    services: [],
    clientAccounts: [{ name: "crews", priority: 1 }],
  };
  const planned = placement.getThroughput(engines, ranges, layerCount);
  return { structure, planned, bound: placement.getHardwareBound(engines, layerCount) };
}

function toPlacementEngine({ name, availabilityZone, kind }: PooledEngine): placement.PlacementEngine {
  const layersPerSecond = (kind.slots * utils.msPerSecond) / kind.layerMs;
  return { name, availabilityZone, layersPerSecond, memoryLayers: kind.memoryLayers };
}

function toFleetEngine(
  { name, availabilityZone, kind }: PooledEngine,
  range: placement.LayerRange | undefined,
): FleetEngine[] {
  if (range === undefined) return [];
  const { accelerator, slots, layerMs, memoryLayers } = kind;
  const stepMs = layerMs * (range[1] - range[0]);
  return [
    {
      name,
      availabilityZone,
      accelerator,
      model,
      version: "1",
      layers: [range[0], range[1]],
      stepMs,
      prefillMsPerToken: stepMs / 100,
      slots,
      checksOrders: true,
      memoryLayers,
    },
  ];
}

async function measure(report: BenchReport, seed: number, entryCount: number): Promise<void> {
  const { structure, planned, bound } = createPlannedStructure(entryCount);
  const fleet = new Fleet(structure, { isSilent: true, seed });
  await fleet.start();
  const slots = utils.getSum(structure.endpoints.map((engine) => engine.slots));
  const addresses = await Promise.all(structure.instances.map(({ name }) => fleet.getCallerAddress(name)));
  const loop = new ClosedLoop({
    addresses,
    key: fleet.accountKeys.get("crews") ?? "",
    model,
    layerCount,
    callers: slots * callersPerSlot,
    promptTokens: 8,
    outputTokens: 96,
    seed,
  });
  loop.start();
  await utils.sleep(warmUpMs);
  const before = getTokenCount(fleet);
  const startMs = utils.monotonicMs();
  const cpuBefore = process.cpuUsage();
  await utils.sleep(measureMs);
  const tookS = (utils.monotonicMs() - startMs) / utils.msPerSecond;
  const tokensPerSecond = (getTokenCount(fleet) - before) / tookS;
  const cpu = process.cpuUsage(cpuBefore);
  await loop.stop();
  await fleet.close();
  const variant = entryCount === 1 ? "one entry" : `${entryCount} entries`;
  report.add(variant, "tokens", tokensPerSecond, "1/s");
  report.add(variant, "bound", bound, "1/s");
  report.add(variant, "ratio", tokensPerSecond / bound, "");
  report.add(variant, "planned ratio", planned / bound, "");
  report.add(variant, "process cpu", (cpu.user + cpu.system) / 1e6 / tookS, "cores");
  report.add(variant, "wrong answers", loop.reports.filter((r) => r.outcome === "wrong").length, "");
}

function getTokenCount(fleet: Fleet): number {
  return utils.getSum([...fleet.instances.values()].map((instance) => instance.pipeline.counters.tokens));
}
