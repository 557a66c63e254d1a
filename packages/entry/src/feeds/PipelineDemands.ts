/** Demand for each pipeline at each instance, and this instance's share of its streams. */
import { getShare } from "@shedtiller/admission";

/** Demand of one pipeline: streams under way and waiting. */
export type PipelineDemand = [model: string, streams: number];

/** Holds what was last heard of the others. */
export class PipelineDemands {
  private readonly _others = new Map<string, { demands: Map<string, number>; instanceCount: number }>();

  /** @param _getOwn - Gives this instance's own demands. */
  constructor(private readonly _getOwn: () => PipelineDemand[]) {}

  getOwn(): PipelineDemand[] {
    return this._getOwn();
  }

  setOther(source: string, demands: readonly PipelineDemand[], instanceCount: number): void {
    this._others.set(source, { demands: new Map(demands), instanceCount });
  }

  /** Forgets sources that are gone for good. */
  retainSources(sources: ReadonlySet<string>): void {
    for (const name of this._others.keys()) if (!sources.has(name)) this._others.delete(name);
  }

  /** Sums over this instance and the named others of its zone. */
  getZone(names: ReadonlySet<string>): PipelineDemand[] {
    const sums = new Map<string, number>(this._getOwn());
    for (const [source, { demands }] of this._others) {
      if (!names.has(source)) continue;
      for (const [model, streams] of demands) sums.set(model, (sums.get(model) ?? 0) + streams);
    }
    return [...sums];
  }

  /** This instance's share of a pipeline's streams. */
  getShare(model: string, limit: number): number {
    const otherDemands: number[] = [];
    for (const { demands, instanceCount } of this._others.values()) {
      const each = (demands.get(model) ?? 0) / instanceCount;
      for (let index = 0; index < instanceCount; index++) otherDemands.push(each);
    }
    const ownDemand = this._getOwn().find(([name]) => name === model)?.[1] ?? 0;
    return getShare({ limit, ownDemand, otherDemands });
  }
}
