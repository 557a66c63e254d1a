/** How long to wait for an engine before asking it, and how long for that answer; learned from its own times. */
import { utils } from "@shedtiller/common";

/** Settings of the detector; the bench varies them. */
export interface SilenceOptions {
  /** Which of the recent times counts as the slowest ordinary one, from 0 to 1. */
  readonly quantile: number;
  /** How many times that one the deadline is. */
  readonly factor: number;
  /** The deadline is never shorter than this. */
  readonly floorMs: number;
  /** How long the engine's answer to a probe may take at the least. */
  readonly probeFloorMs: number;
}

export const defaultSilenceOptions: SilenceOptions = {
  quantile: 0.99,
  factor: 2,
  floorMs: 10,
  probeFloorMs: 20,
};

const windowLength = 128;
const refreshEvery = 16;
const firstRatio = 4;
const firstProbeMs = 250;
const minSamples = 8;

/** Times of one kind, as multiples of what was expected; the quantile is refreshed every few samples. */
class RatioWindow {
  private readonly _ratios: number[] = [];
  private _count = 0;
  private _quantile: number | undefined;

  add(ratio: number, share: number): void {
    this._ratios[this._count % windowLength] = ratio;
    this._count += 1;
    if (this._count < minSamples || this._count % refreshEvery !== 0) return;
    this._quantile = utils.getQuantile(this._ratios, share);
  }

  get quantile(): number | undefined {
    return this._quantile;
  }
}

/** Learns the times of one engine. */
export class SilenceDetector {
  private readonly _steps = new RatioWindow();
  private readonly _probes = new RatioWindow();

  constructor(private readonly _options: SilenceOptions = defaultSilenceOptions) {}

  /** Takes the time of an ended call. */
  recordStep(expectedMs: number, tookMs: number): void {
    this._steps.add(tookMs / expectedMs, this._options.quantile);
  }

  /** Takes the time of an answered probe. */
  recordProbe(tookMs: number): void {
    this._probes.add(tookMs, this._options.quantile);
  }

  /** How long a call that should take `expectedMs` may be silent before the engine is asked. */
  getStepDeadlineMs(expectedMs: number): number {
    const ratio = this._steps.quantile ?? firstRatio;
    return Math.max(this._options.floorMs, expectedMs * Math.max(1, ratio) * this._options.factor);
  }

  /** How long the engine's answer to a probe may take before the engine counts as lost. */
  getProbeDeadlineMs(): number {
    const slowest = this._probes.quantile;
    if (slowest === undefined)
      return Math.max(this._options.probeFloorMs, firstProbeMs / this._options.factor);
    return Math.max(this._options.probeFloorMs, slowest * this._options.factor);
  }
}
