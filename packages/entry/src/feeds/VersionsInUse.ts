/**
 * Versions of each pipeline that are in use, at this instance and at the others. The last chain of a version may be
 * reconfigured only if no instance starts requests on that version or has some in flight, since no other engines could
 * continue them.
 */
import { utils } from "@shedtiller/common";
import type { EndpointDirectory } from "@shedtiller/routing";
import type { PipelineObject } from "@shedtiller/intent";
import { getServedVersion, getCompleteVersions } from "../orders/servedVersions.js";

/**
 * Time for which an instance starts no requests on a version that it has closed. The order that requires the version to be
 * closed is sent within 1 s, once all other instances have answered or timed out, and expires 2 s after that.
 */
const closedDurationMs = 5_000;
const reopenPollMs = 20;

/** Versions of one pipeline on which an instance starts requests or has some in flight. */
export type VersionUse = [model: string, versions: string[]];

/** Use of a version by one request, until it is released. */
export interface VersionHandle {
  readonly version: string;
  readonly release: () => void;
}

/** Limits on the time for which a request waits for a version to start on. */
export interface AcquireOptions {
  /** Monotonic time at which the request stops waiting. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Counts the requests in flight by version, and stores the versions in use as last reported by other instances. */
export class VersionsInUse {
  /** Number of requests in flight, by model and version. */
  private readonly _running = new Map<string, Map<string, number>>();
  private readonly _others = new Map<string, ReadonlyMap<string, readonly string[]>>();
  /** Monotonic time until which no requests start on a version, by model and version. */
  private readonly _closedUntilMs = new Map<string, Map<string, number>>();

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _getPipelines: () => readonly PipelineObject[],
  ) {}

  /** Returns the version on which a new request starts. */
  getServed(pipeline: PipelineObject): string {
    return getServedVersion(this._directory, pipeline, (version) => !this._isClosed(pipeline.name, version));
  }

  /**
   * Adds a request to the version that is served now. If all complete chains are of closed versions, waits until another
   * version has a complete chain or a closed version reopens. This takes a few seconds at most, while the engines of the new
   * version are loading.
   */
  async acquire(pipeline: PipelineObject, options: AcquireOptions): Promise<VersionHandle> {
    while (this._isEveryVersionClosed(pipeline)) {
      if (options.signal.aborted || utils.monotonicMs() >= options.deadlineMs) break;
      await utils.sleep(reopenPollMs, options.signal).catch(() => undefined);
    }
    const version = this.getServed(pipeline);
    return { version, release: this.addRequest(pipeline.name, version) };
  }

  /** Returns whether this instance knows a complete chain of any version. */
  hasChain(pipeline: PipelineObject): boolean {
    return getCompleteVersions(this._directory, pipeline).length > 0;
  }

  /**
   * Closes a version to new requests at this instance for 5 s, unless it is in use or no other open version has a complete chain. Returns
   * whether it was closed.
   * @param isGap - Whether no version has a complete chain without the engines in question. The version may then be closed
   * even though it is the one that is served.
   */
  tryClose(pipeline: PipelineObject, version: string, isGap: boolean): boolean {
    const isRunning = this._running.get(pipeline.name)?.has(version) ?? false;
    if (isRunning || (!isGap && !this._canServeWithout(pipeline, version))) return false;
    const closed = this._closedUntilMs.get(pipeline.name) ?? new Map<string, number>();
    this._closedUntilMs.set(pipeline.name, closed.set(version, utils.monotonicMs() + closedDurationMs));
    return true;
  }

  /** Adds a request in flight on a version, and returns the function that removes it. */
  addRequest(model: string, version: string): () => void {
    const counts = this._running.get(model) ?? new Map<string, number>();
    this._running.set(model, counts);
    counts.set(version, (counts.get(version) ?? 0) + 1);
    return () => {
      const remaining = (counts.get(version) ?? 0) - 1;
      if (remaining > 0) counts.set(version, remaining);
      else counts.delete(version);
    };
  }

  /**
   * Returns the versions in use at this instance. Pipelines whose engines have loaded a single version are left out, since
   * that version is not about to be replaced.
   */
  getOwn(): VersionUse[] {
    const changing = this._getPipelines().filter(
      (pipeline) => this._directory.getVersions(pipeline.name).length > 1,
    );
    return changing.map((pipeline) => [pipeline.name, this._getOwnVersions(pipeline)]);
  }

  /** Stores the versions in use that another instance or zone reported; removes the earlier report if `uses` is undefined. */
  setOther(source: string, uses: readonly VersionUse[] | undefined): void {
    if (uses === undefined) this._others.delete(source);
    else this._others.set(source, new Map(uses));
  }

  /** Removes the reports of all sources but the given ones. */
  retainSources(sources: ReadonlySet<string>): void {
    for (const name of this._others.keys()) if (!sources.has(name)) this._others.delete(name);
  }

  /** Returns the versions in use at this instance or the named others; undefined if one of the others has not reported yet. */
  getZone(names: Iterable<string>): VersionUse[] | undefined {
    const reports = [...names].map((name) => this._others.get(name));
    const received = reports.flatMap((uses) => uses ?? []);
    if (received.length < reports.length) return undefined;
    // An instance that reports nothing about a pipeline may use any version of it, so the pipeline is left out.
    return this.getOwn().flatMap(([model, own]): VersionUse[] => {
      const versions = received.map((uses) => uses.get(model));
      if (versions.includes(undefined)) return [];
      return [[model, [...new Set([...own, ...versions.flatMap((list) => list ?? [])])]]];
    });
  }

  /** Returns whether this instance or a named other one may use a version. An instance without a report may use every version. */
  mayBeUsed(pipeline: PipelineObject, version: string, names: Iterable<string>): boolean {
    return this.getUsers(pipeline, version, names).length > 0;
  }

  /** Returns the users of a version: this instance if it uses the version, and the named others that use it or have not reported. */
  getUsers(pipeline: PipelineObject, version: string, names: Iterable<string>): string[] {
    const isOwn = this._getOwnVersions(pipeline).includes(version);
    const others = [...names].filter(
      (name) => this._others.get(name)?.get(pipeline.name)?.includes(version) ?? true,
    );
    return isOwn ? ["this instance", ...others] : others;
  }

  private _getOwnVersions(pipeline: PipelineObject): string[] {
    const running = this._running.get(pipeline.name)?.keys() ?? [];
    return [...new Set([this.getServed(pipeline), ...running])];
  }

  private _canServeWithout(pipeline: PipelineObject, version: string): boolean {
    if (this.getServed(pipeline) === version) return false;
    const complete = getCompleteVersions(this._directory, pipeline);
    return complete.some((other) => other !== version && !this._isClosed(pipeline.name, other));
  }

  private _isClosed(model: string, version: string): boolean {
    return utils.monotonicMs() < (this._closedUntilMs.get(model)?.get(version) ?? 0);
  }

  /** Returns whether a version is closed and no open version has a complete chain. */
  private _isEveryVersionClosed(pipeline: PipelineObject): boolean {
    const isClosed = (version: string): boolean => this._isClosed(pipeline.name, version);
    const closed = [...(this._closedUntilMs.get(pipeline.name)?.keys() ?? [])];
    // Usually no version is closed; checking this first avoids the search for complete chains.
    return closed.some(isClosed) && getCompleteVersions(this._directory, pipeline).every(isClosed);
  }
}
