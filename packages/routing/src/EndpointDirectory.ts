import { utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import { getBoundariesThatReach } from "./choosers/ChainChooser.js";
import type { EngineReport, LayerRange } from "./EngineReport.js";
import { OutlierEjection } from "./OutlierEjection.js";

/** An endpoint with its listed state, its last report, and the observations of this instance. */
export interface EndpointEntry {
  readonly name: string;
  readonly role: "engine" | "service";
  readonly service: string | undefined;
  readonly availabilityZone: string;
  readonly address: string;
  /** Whether the endpoint is draining according to the list, its own report or a peer. Final for this address. */
  isDraining: boolean;
  /** Whether the last direct contact of this instance failed. Cleared by the next report that comes from the endpoint itself. */
  isUnreachable: boolean;
  report: EngineReport | undefined;
  reportAtMs: number;
  /** Whether the endpoint is to load other layers soon; new work goes to other endpoints if possible. */
  isRetiring: boolean;
  /** Streams of this instance that have the endpoint in their chain. */
  ownStreams: number;
  /** Value of `ownStreams` when the last report arrived, so that no stream is counted twice. */
  ownStreamsAtReport: number;
}

/** An engine with loaded layers that may be chosen. */
export interface EngineCandidate {
  readonly entry: EndpointEntry;
  readonly report: EngineReport;
  readonly layers: LayerRange;
}

/**
 * Tracks the endpoints by the platform's list, their reports and direct contacts, and returns the endpoints that may get new work. Direct
 * observations of this instance take precedence.
 */
export class EndpointDirectory {
  readonly outliers = new OutlierEjection();
  private readonly _entries = new Map<string, EndpointEntry>();
  private readonly _drainingListeners: ((entry: EndpointEntry) => void)[] = [];

  /** Replaces the entries by those of the platform's list. Endpoints that are no longer listed are removed. */
  setListed(instances: readonly ListedInstance[]): void {
    const listed = instances.filter((instance) => instance.role !== "entry");
    const names = new Set(listed.map((instance) => instance.name));
    for (const name of this._entries.keys()) if (!names.has(name)) this._entries.delete(name);
    for (const instance of listed) this._setListedOne(instance);
  }

  /**
   * Records a report.
   * @param isDirect - Whether the endpoint itself has just sent the report to this instance.
   */
  setReport(report: EngineReport, isDirect: boolean): void {
    const entry = this._entries.get(report.name);
    if (entry === undefined) return;
    entry.report = report;
    entry.reportAtMs = utils.monotonicMs();
    entry.ownStreamsAtReport = entry.ownStreams;
    if (isDirect) entry.isUnreachable = false;
    if (report.state === "leaving") this.markDraining(report.name);
  }

  /** Records that an endpoint is draining; the endpoint gets no new work from now on. */
  markDraining(name: string): void {
    const entry = this._entries.get(name);
    if (entry === undefined || entry.isDraining) return;
    entry.isDraining = true;
    for (const listener of this._drainingListeners) listener(entry);
  }

  /** Records that a direct contact failed. */
  markUnreachable(name: string): void {
    const entry = this._entries.get(name);
    if (entry !== undefined) entry.isUnreachable = true;
  }

  /** Records that a direct contact succeeded. */
  markReachable(name: string): void {
    const entry = this._entries.get(name);
    if (entry !== undefined) entry.isUnreachable = false;
  }

  /** Calls `listener` once for each endpoint that starts draining. */
  onDraining(listener: (entry: EndpointEntry) => void): void {
    this._drainingListeners.push(listener);
  }

  getEntry(name: string): EndpointEntry | undefined {
    return this._entries.get(name);
  }

  getEntries(): EndpointEntry[] {
    return [...this._entries.values()];
  }

  /** Returns the versions of a model that engines report. */
  getVersions(model: string): string[] {
    const reports = this.getEntries().flatMap((entry) => entry.report ?? []);
    return [...new Set(reports.filter((report) => report.model === model).map((report) => report.version))];
  }

  /**
   * Returns whether the engines may form a complete chain of a version, by their last reports; an engine without a report may have any
   * layers.
   */
  mayHaveChain(model: string, version: string, layerCount: number): boolean {
    const engines = this.getEntries().filter((entry) => entry.role === "engine");
    if (engines.some((entry) => entry.report === undefined)) return true;
    const ranges = engines.flatMap(({ report }) =>
      report?.model === model && report.version === version && report.layers !== undefined
        ? [{ layers: report.layers }]
        : [],
    );
    return getBoundariesThatReach(ranges, layerCount).has(0);
  }

  /** Returns the engines that may get new work for a model version. */
  getEngines(model: string, version: string): EngineCandidate[] {
    const candidates: EngineCandidate[] = [];
    for (const entry of this._entries.values()) {
      const report = entry.report;
      if (report?.layers === undefined || !acceptsWork(entry)) continue;
      if (report.state !== "live" || report.model !== model || report.version !== version) continue;
      candidates.push({ entry, report, layers: report.layers });
    }
    return this._withoutOutliers(candidates);
  }

  /** Returns the endpoints of a plain service that may get new work. */
  getServiceEndpoints(service: string): EndpointEntry[] {
    return this.getEntries().filter((entry) => entry.service === service && acceptsWork(entry));
  }

  /** Ejects outliers among engines with the same layers only, so that the last engine of a layer range is never ejected. */
  private _withoutOutliers(candidates: readonly EngineCandidate[]): EngineCandidate[] {
    const byRange = new Map<string, EngineCandidate[]>();
    for (const candidate of candidates) {
      const key = candidate.layers.join("-");
      const group = byRange.get(key);
      if (group === undefined) byRange.set(key, [candidate]);
      else group.push(candidate);
    }
    const getName = (candidate: EngineCandidate): string => candidate.entry.name;
    return [...byRange.values()].flatMap((group) => this.outliers.withoutEjected(group, getName));
  }

  private _setListedOne(instance: ListedInstance): void {
    const known = this._entries.get(instance.name);
    if (known === undefined || known.address !== instance.address) {
      this._entries.set(instance.name, createEntry(instance));
    }
    if (instance.state === "leaving") this.markDraining(instance.name);
  }
}

function acceptsWork(entry: EndpointEntry): boolean {
  return !entry.isDraining && !entry.isUnreachable;
}

function createEntry(instance: ListedInstance): EndpointEntry {
  return {
    name: instance.name,
    role: instance.role === "service" ? "service" : "engine",
    service: instance.service,
    availabilityZone: instance.availabilityZone,
    address: instance.address,
    isDraining: false,
    isUnreachable: false,
    isRetiring: false,
    report: undefined,
    reportAtMs: 0,
    ownStreams: 0,
    ownStreamsAtReport: 0,
  };
}
