/**
 * Which versions of each pipeline are in use, at this instance and at the others. The last chain of a version may be broken up only
 * where no instance begins requests there or has some under way: nothing else could go on with them.
 */
import { utils } from "@shedtiller/common";
import type { EndpointDirectory } from "@shedtiller/routing";
import type { PipelineObject } from "@shedtiller/intent";
import { getServedVersion, getWholeVersions } from "../orders/servedVersions.js";

/**
 * How long an instance begins nothing on a version after it has said so. The order that relies on it is sent within a second, once all
 * others have answered or have had the time to, and takes effect within two more or never.
 */
const closedMs = 5_000;
const openAgainPollMs = 20;

/** Versions of one pipeline that an instance begins requests with, or has some under way with. */
export type VersionUse = [model: string, versions: string[]];

/** A version that a request runs with, and the function that notes its end. */
export interface VersionEntry {
  readonly version: string;
  readonly leave: () => void;
}

/** Until when a request may wait for a version that it can begin on. */
export interface BeginOptions {
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Holds what is in use here, and what was last heard of the others. */
export class VersionsInUse {
  /** Requests under way, by model and version. */
  private readonly _running = new Map<string, Map<string, number>>();
  private readonly _others = new Map<string, ReadonlyMap<string, readonly string[]>>();
  /** Monotonic milliseconds until which nothing begins on a version, by model and version. */
  private readonly _closedUntilMs = new Map<string, Map<string, number>>();

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _getPipelines: () => readonly PipelineObject[],
  ) {}

  /** The version that a request gets that begins now. */
  getServed(pipeline: PipelineObject): string {
    return getServedVersion(this._directory, pipeline, (version) => !this._isClosed(pipeline.name, version));
  }

  /**
   * Begins a request on the version that is served now. Where the only whole chains are of a version on which nothing may begin, it waits
   * until another one is whole or that one is free again, for some seconds at the most: engines of the new version are loading then.
   */
  async begin(pipeline: PipelineObject, options: BeginOptions): Promise<VersionEntry> {
    while (this._hasOnlyClosed(pipeline)) {
      if (options.signal.aborted || utils.monotonicMs() >= options.deadlineMs) break;
      await utils.sleep(openAgainPollMs, options.signal).catch(() => undefined);
    }
    const version = this.getServed(pipeline);
    return { version, leave: this.enter(pipeline.name, version) };
  }

  /**
   * Says that nothing begins on a version here for five seconds, unless it is in use; tells whether it is not.
   * @param isGap - No version is whole without the engines in question, so that this one being served is no reason against it.
   */
  close(pipeline: PipelineObject, version: string, isGap: boolean): boolean {
    const isRunning = this._running.get(pipeline.name)?.has(version) ?? false;
    if (isRunning || (!isGap && this.getServed(pipeline) === version)) return false;
    const closed = this._closedUntilMs.get(pipeline.name) ?? new Map<string, number>();
    this._closedUntilMs.set(pipeline.name, closed.set(version, utils.monotonicMs() + closedMs));
    return true;
  }

  /** Notes a request that begins; the function that comes back notes its end. */
  enter(model: string, version: string): () => void {
    const counts = this._running.get(model) ?? new Map<string, number>();
    this._running.set(model, counts);
    counts.set(version, (counts.get(version) ?? 0) + 1);
    return () => {
      const left = (counts.get(version) ?? 0) - 1;
      if (left > 0) counts.set(version, left);
      else counts.delete(version);
    };
  }

  /** What is in use here, of the pipelines whose engines hold more than one version; the others need no word. */
  getOwn(): VersionUse[] {
    const changing = this._getPipelines().filter(
      (pipeline) => this._directory.getVersions(pipeline.name).length > 1,
    );
    return changing.map((pipeline) => [pipeline.name, this._getOwnVersions(pipeline)]);
  }

  /** Takes what another instance or zone told; undefined where it can't tell. */
  setOther(source: string, uses: readonly VersionUse[] | undefined): void {
    if (uses === undefined) this._others.delete(source);
    else this._others.set(source, new Map(uses));
  }

  /** Forgets sources that are gone for good. */
  retainSources(sources: ReadonlySet<string>): void {
    for (const name of this._others.keys()) if (!sources.has(name)) this._others.delete(name);
  }

  /** What is in use here or at the named others; undefined where one of those has not told yet. */
  getZone(names: Iterable<string>): VersionUse[] | undefined {
    const told = [...names].map((name) => this._others.get(name));
    const heard = told.flatMap((uses) => uses ?? []);
    if (heard.length < told.length) return undefined;
    // A pipeline that one of them has no word of may be in use there with any version.
    return this.getOwn().flatMap(([model, own]): VersionUse[] => {
      const versions = heard.map((uses) => uses.get(model));
      if (versions.includes(undefined)) return [];
      return [[model, [...new Set([...own, ...versions.flatMap((some) => some ?? [])])]]];
    });
  }

  /** Whether a version may be in use, here or at one of the named others. One that has not told may use all. */
  mayBeUsed(pipeline: PipelineObject, version: string, names: Iterable<string>): boolean {
    return this.getUsers(pipeline, version, names).length > 0;
  }

  /** Where a version may be in use: here, and at those of the named others that use it or have not told. */
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

  private _isClosed(model: string, version: string): boolean {
    return utils.monotonicMs() < (this._closedUntilMs.get(model)?.get(version) ?? 0);
  }

  /** Whether no version can be served but ones on which nothing may begin, or whose chain is being broken up right now. */
  private _hasOnlyClosed(pipeline: PipelineObject): boolean {
    const isClosed = (version: string): boolean => this._isClosed(pipeline.name, version);
    const closed = [...(this._closedUntilMs.get(pipeline.name)?.keys() ?? [])];
    // Almost always nothing is closed, and chains need not be looked for.
    return closed.some(isClosed) && getWholeVersions(this._directory, pipeline).every(isClosed);
  }
}
