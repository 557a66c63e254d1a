/** The operators' view of the decisions under load, as one instance sees them. */
import { utils } from "@shedtiller/common";
import * as zod from "zod";
import type { GatewayMetrics } from "../GatewayMetrics.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { LoadExchange } from "../peers/LoadExchange.js";
import type { SharedFigures } from "../peers/SharedFigures.js";
import { pressureEntrySchema, type PressureEntry, type PressureSource } from "./PressureSource.js";

/** Path of the report at the listener for metrics. */
export const pressurePath = "/pressure";
/** Maximum number of entries of a decision for one service, and so the number of its label values in the metrics. */
const maxEntries = 24;
/** Interval at which changes are logged: several updates of the figures, so that a value that passes through is not logged. */
const logIntervalMs = 1_000;
/** Relative change from which on a value is logged again. Smaller ones are the usual spread between two updates. */
const minLoggedChange = 0.2;

/** What an instance tells operators. */
export const pressureReportSchema = zod.object({
  instance: zod.string(),
  availabilityZone: zod.string(),
  isCollector: zod.boolean(),
  /** Name of the collector that the instance follows. */
  collector: zod.string(),
  /** Age of the zone's figures; missing until the collector has sent the first ones. */
  figuresAgeMs: zod.number().nonnegative().optional(),
  entries: zod.array(pressureEntrySchema),
  /** Number of entries with smaller values that were left out. */
  omitted: zod.number(),
});
export type PressureReport = zod.infer<typeof pressureReportSchema>;

/** Dependencies of {@link PressureView}. */
export interface PressureViewStructure {
  readonly instance: { readonly name: string; readonly availabilityZone: string };
  readonly loads: Pick<LoadExchange, "isCollector" | "collector">;
  readonly figures: Pick<SharedFigures, "getAgeMs">;
  readonly sources: readonly PressureSource[];
  readonly log: DecisionLog;
}

/** Gathers the entries of all decisions, and logs those that change. */
export class PressureView {
  /** The entries as last logged, by {@link getEntryKey}. */
  private _logged = new Map<string, PressureEntry>();

  constructor(private readonly _structure: PressureViewStructure) {}

  /** Returns the current state of all decisions, with the largest values of each. */
  getReport(): PressureReport {
    const { instance, loads, figures, sources } = this._structure;
    const all = sources.flatMap((source) => source.getPressure()).map(toFinite);
    const entries = limitEntries(all);
    const figuresAgeMs = figures.getAgeMs();
    return {
      instance: instance.name,
      availabilityZone: instance.availabilityZone,
      isCollector: loads.isCollector,
      collector: loads.collector,
      ...(Number.isFinite(figuresAgeMs) ? { figuresAgeMs } : {}),
      entries,
      omitted: all.length - entries.length,
    };
  }

  /** Adds the report and the gauge of its values to the listener for metrics. */
  addTo(metrics: GatewayMetrics): void {
    metrics.addPage(pressurePath, () => this.getReport());
    metrics.addLabelledGauge({
      name: "pressure",
      help: "Values of the decisions under load, by decision, service and subject",
      labelNames: ["decision", "service", "subject"],
      getValues: () => this.getReport().entries.map(toGaugeValue),
    });
  }

  /** Logs changes periodically until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    const { log } = this._structure;
    const logFailure = (error: unknown): void => log.error("pressure-view-failed", { cause: String(error) });
    return utils.repeat(logIntervalMs, signal, () => this.logChanges(), logFailure);
  }

  /** Logs each entry that has appeared, disappeared or changed by more than the hysteresis since it was last logged. */
  logChanges(): void {
    const { log } = this._structure;
    const current = new Map(this.getReport().entries.map((entry) => [getEntryKey(entry), entry]));
    for (const [key, entry] of current) {
      const before = this._logged.get(key);
      if (before !== undefined && !hasChanged(before.value, entry.value)) continue;
      log.info("pressure-changed", { ...entry, before: before?.value ?? 0 });
      this._logged.set(key, entry);
    }
    for (const [key, { decision, service, subject, value }] of this._logged) {
      if (current.has(key)) continue;
      log.info("pressure-ended", { decision, service, subject, before: value });
      this._logged.delete(key);
    }
  }
}

/** Returns the key by which entries of different times and instances belong together. */
export function getEntryKey({ decision, service, subject }: PressureEntry): string {
  return JSON.stringify([decision, service, subject]);
}

function hasChanged(before: number, after: number): boolean {
  return Math.abs(after - before) > minLoggedChange * Math.max(Math.abs(before), Math.abs(after));
}

/** Returns an entry that JSON can represent. The age of inputs that never arrived is infinite, and JSON has no infinity. */
function toFinite(entry: PressureEntry): PressureEntry {
  const limit = (value: number): number =>
    Number.isNaN(value) ? 0 : Math.max(-Number.MAX_SAFE_INTEGER, Math.min(value, Number.MAX_SAFE_INTEGER));
  return { ...entry, value: limit(entry.value), ageMs: Math.max(0, limit(entry.ageMs)) };
}

/** Keeps the entries with the largest values of each decision and service. */
function limitEntries(entries: readonly PressureEntry[]): PressureEntry[] {
  const groups = utils.groupBy(entries, ({ decision, service }) => JSON.stringify([decision, service]));
  return [...groups.values()].flatMap((group) =>
    [...group].sort((a, b) => Math.abs(b.value) - Math.abs(a.value)).slice(0, maxEntries),
  );
}

function toGaugeValue({ decision, service, subject, value }: PressureEntry): {
  labels: Record<string, string>;
  value: number;
} {
  return { labels: { decision, service, subject }, value };
}
