/** Stand-in for the weight store of the platform. */
import { utils } from "@shedtiller/common";

const defaultLayersPerSecond = 200;

/** Simulates the loading of weights: layers are fetched one after the other, at a rate that all engines share. */
export class StandInWeightStore {
  private _busyUntilMs = 0;

  constructor(public layersPerSecond = defaultLayersPerSecond) {}

  /** Resolves once `count` layers have been fetched. */
  async fetchLayers(count: number): Promise<void> {
    const startMs = Math.max(this._busyUntilMs, utils.monotonicMs());
    this._busyUntilMs = startMs + (count / this.layersPerSecond) * utils.msPerSecond;
    await utils.sleep(this._busyUntilMs - utils.monotonicMs());
  }
}
