/** Demand for each pipeline at each instance, and this instance's share of the pipeline's streams. */
import { getShare } from "@shedtiller/admission";

/** Demand for one pipeline: the number of its streams that run or wait. */
export type PipelineDemand = [model: string, streams: number];

/** Stores the demands last received from other instances and zones, and computes this instance's share from them. */
export class PipelineDemands {
  private readonly _others = new Map<string, { demands: Map<string, number>; instanceCount: number }>();

  /** @param _getOwn - Returns this instance's own demands. */
  constructor(private readonly _getOwn: () => PipelineDemand[]) {}

  /** Returns this instance's own demands. */
  getOwn(): PipelineDemand[] {
    return this._getOwn();
  }

  /** Stores the demands of another instance, or of a whole zone of `instanceCount` instances. */
  setOther(source: string, demands: readonly PipelineDemand[], instanceCount: number): void {
    this._others.set(source, { demands: new Map(demands), instanceCount });
  }

  /** Removes the demands of all sources but the given ones. */
  retainSources(sources: ReadonlySet<string>): void {
    for (const name of this._others.keys()) if (!sources.has(name)) this._others.delete(name);
  }

  /** Returns the demands of this instance and the named others of its zone, summed by pipeline. */
  getZone(names: ReadonlySet<string>): PipelineDemand[] {
    const sums = new Map<string, number>(this._getOwn());
    for (const [source, { demands }] of this._others) {
      if (!names.has(source)) continue;
      for (const [model, streams] of demands) sums.set(model, (sums.get(model) ?? 0) + streams);
    }
    return [...sums];
  }

  /** Returns this instance's share of the `limit` streams of a pipeline. */
  getShare(model: string, limit: number): number {
    const otherDemands: number[] = [];
    for (const { demands, instanceCount } of this._others.values()) {
      const demandPerInstance = (demands.get(model) ?? 0) / instanceCount;
      for (let index = 0; index < instanceCount; index++) otherDemands.push(demandPerInstance);
    }
    const ownDemand = this._getOwn().find(([name]) => name === model)?.[1] ?? 0;
    return getShare({ limit, ownDemand, otherDemands });
  }
}
