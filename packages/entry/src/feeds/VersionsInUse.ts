/**
 * Which versions of each pipeline are in use, at this instance and at the others. The last chain of a version may be broken up only
 * where no instance begins requests there or has some under way: nothing else could go on with them.
 */
import type { EndpointDirectory } from "@shedtiller/routing";
import type { PipelineObject } from "@shedtiller/intent";
import { getServedVersion } from "../orders/servedVersions.js";

/** Versions of one pipeline that an instance begins requests with, or has some under way with. */
export type VersionUse = [model: string, versions: string[]];

/** Holds what is in use here, and what was last heard of the others. */
export class VersionsInUse {
  /** Requests under way, by model and version. */
  private readonly _running = new Map<string, Map<string, number>>();
  private readonly _others = new Map<string, ReadonlyMap<string, readonly string[]>>();

  constructor(
    private readonly _directory: EndpointDirectory,
    private readonly _getPipelines: () => readonly PipelineObject[],
  ) {}

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
  keepSources(sources: ReadonlySet<string>): void {
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
    return [...new Set([getServedVersion(this._directory, pipeline), ...running])];
  }
}
