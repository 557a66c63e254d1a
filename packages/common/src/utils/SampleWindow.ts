/** A quantile over a sliding window of samples. */
import { getQuantile } from "./statistics.js";

/** Options of {@link SampleWindow}. */
export interface SampleWindowOptions {
  /** The quantile to compute, from 0 to 1. */
  readonly share: number;
  /** Number of samples in the window. */
  readonly length?: number;
  /** The quantile is recomputed once in this many samples, since sorting is much more expensive than adding a sample. */
  readonly refreshEvery?: number;
}

const defaultLength = 128;
const defaultRefreshEvery = 8;

/** Computes a quantile over the newest samples, which it stores in a ring buffer. */
export class SampleWindow {
  private readonly _samples: number[] = [];
  private _count = 0;
  private _quantile: number | undefined;

  constructor(private readonly _options: SampleWindowOptions) {}

  add(sample: number): void {
    const { share, length = defaultLength, refreshEvery = defaultRefreshEvery } = this._options;
    this._samples[this._count % length] = sample;
    this._count += 1;
    if (this._count % refreshEvery !== 0) return;
    this._quantile = getQuantile(this._samples, share);
  }

  /** The quantile as of its last computation; undefined before the first one. */
  get quantile(): number | undefined {
    return this._quantile;
  }
}
