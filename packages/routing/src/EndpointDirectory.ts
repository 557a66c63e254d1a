/** What one instance knows of all endpoints: listed state, reports, and its own evidence, which goes first. */
import { utils } from "@shedtiller/common";
import type { ListedInstance } from "@shedtiller/logservice";
import { getBoundariesThatReach } from "./choosers/ChainChooser.js";
import type { EngineReport, LayerRange } from "./EngineReport.js";
import { OutlierGuard } from "./OutlierGuard.js";

/** An endpoint as the directory holds it. */
export interface EndpointEntry {
  readonly name: string;
  readonly role: "engine" | "service";
  readonly service: string | undefined;
  readonly availabilityZone: string;
  readonly address: string;
  /** Seen to be leaving, by the list, the endpoint's own word or a peer's. Never taken back for this address. */
  isDraining: boolean;
  /** Our own last contact failed. Cleared by the next report that comes from the endpoint itself. */
  isUnreachable: boolean;
  report: EngineReport | undefined;
  reportAtMs: number;
  /** Is to hold something else soon; new work goes elsewhere where it can. */
  isRetiring: boolean;
  /** Streams of ours that have this endpoint in their chain. */
  ownStreams: number;
  /** What `ownStreams` was when the report in hand was made, so that nothing is counted twice. */
  ownStreamsAtReport: number;
}

/** An engine that holds layers, ready to be chosen. */
export interface EngineCandidate {
  readonly entry: EndpointEntry;
  readonly report: EngineReport;
  readonly layers: LayerRange;
}

/** Holds the endpoints and answers which may get new work. */
export class EndpointDirectory {
  readonly outliers = new OutlierGuard();
  private readonly _entries = new Map<string, EndpointEntry>();
  private readonly _leavingListeners: ((entry: EndpointEntry) => void)[] = [];

  /** Takes a page of the platform's list. Endpoints that are no longer listed are dropped. */
  setListed(instances: readonly ListedInstance[]): void {
    const listed = instances.filter((instance) => instance.role !== "entry");
    const names = new Set(listed.map((instance) => instance.name));
    for (const name of this._entries.keys()) if (!names.has(name)) this._entries.delete(name);
    for (const instance of listed) this._setOne(instance);
  }

  /** Takes a report. `isDirect` tells that the endpoint itself sent it to us just now. */
  setReport(report: EngineReport, isDirect: boolean): void {
    const entry = this._entries.get(report.name);
    if (entry === undefined) return;
    entry.report = report;
    entry.reportAtMs = utils.monotonicMs();
    entry.ownStreamsAtReport = entry.ownStreams;
    if (isDirect) entry.isUnreachable = false;
    if (report.state === "leaving") this.markDraining(report.name);
  }

  /** Notes that an endpoint is leaving; it gets no new work from here on. */
  markDraining(name: string): void {
    const entry = this._entries.get(name);
    if (entry === undefined || entry.isDraining) return;
    entry.isDraining = true;
    for (const listener of this._leavingListeners) listener(entry);
  }

  /** Notes that a direct contact failed. */
  markUnreachable(name: string): void {
    const entry = this._entries.get(name);
    if (entry !== undefined) entry.isUnreachable = true;
  }

  /** Notes that a direct contact worked. */
  markReachable(name: string): void {
    const entry = this._entries.get(name);
    if (entry !== undefined) entry.isUnreachable = false;
  }

  /** Calls `listener` once for each endpoint that begins to leave. */
  onDraining(listener: (entry: EndpointEntry) => void): void {
    this._leavingListeners.push(listener);
  }

  getEntry(name: string): EndpointEntry | undefined {
    return this._entries.get(name);
  }

  getEntries(): EndpointEntry[] {
    return [...this._entries.values()];
  }

  /** Versions of a model that live engines hold. */
  getVersions(model: string): string[] {
    const reports = this.getEntries().flatMap((entry) => entry.report ?? []);
    return [...new Set(reports.filter((report) => report.model === model).map((report) => report.version))];
  }

  /** Whether the engines may make up a whole chain of a version again, by their last reports; one without a report may hold any. */
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

  /** Engines that may get new work for a model version. */
  getEngines(model: string, version: string): EngineCandidate[] {
    const candidates: EngineCandidate[] = [];
    for (const entry of this._entries.values()) {
      const report = entry.report;
      if (report?.layers === undefined || !isOpenToWork(entry)) continue;
      if (report.state !== "live" || report.model !== model || report.version !== version) continue;
      candidates.push({ entry, report, layers: report.layers });
    }
    return this._withoutEjected(candidates);
  }

  /** Endpoints of a plain service that may get new work. */
  getServiceEndpoints(service: string): EndpointEntry[] {
    return this.getEntries().filter((entry) => entry.service === service && isOpenToWork(entry));
  }

  /** Ejection acts among engines with the same layers, so that it never takes the last one of a range. */
  private _withoutEjected(candidates: readonly EngineCandidate[]): EngineCandidate[] {
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

  private _setOne(instance: ListedInstance): void {
    const known = this._entries.get(instance.name);
    if (known === undefined || known.address !== instance.address) {
      this._entries.set(instance.name, createEntry(instance));
    }
    if (instance.state === "leaving") this.markDraining(instance.name);
  }
}

function isOpenToWork(entry: EndpointEntry): boolean {
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
