/** A stand-in for the rate-limited weight store. */
import { utils } from "@shedtiller/common";

const defaultLayersPerSecond = 200;

/** Gives layers of weights, one after the other, at a limited rate for everybody together. */
export class StandInWeightStore {
  private _freeAtMs = 0;

  constructor(public layersPerSecond = defaultLayersPerSecond) {}

  /** Resolves once `count` layers have been fetched. */
  async fetchLayers(count: number): Promise<void> {
    const startMs = Math.max(this._freeAtMs, utils.monotonicMs());
    this._freeAtMs = startMs + (count / this.layersPerSecond) * utils.msPerSecond;
    await utils.sleep(this._freeAtMs - utils.monotonicMs());
  }
}
