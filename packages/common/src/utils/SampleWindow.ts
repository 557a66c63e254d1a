/** A quantile of the newest samples of something that is measured all the time. */
import { getQuantile } from "./statistics.js";

/** How a window is kept. */
export interface SampleWindowOptions {
  /** Which of the samples is given, from 0 to 1. */
  readonly share: number;
  /** Samples that are kept. */
  readonly length?: number;
  /** The quantile is worked out anew once in this many samples: sorting costs more than a sample. */
  readonly refreshEvery?: number;
}

const defaultLength = 128;
const defaultRefreshEvery = 8;

/** Keeps the newest samples in a ring of fixed length. */
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

  /** The quantile; undefined before the first samples are in. */
  get quantile(): number | undefined {
    return this._quantile;
  }
}
