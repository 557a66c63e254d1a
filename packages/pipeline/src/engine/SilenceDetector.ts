/** How long to wait for an engine before asking it, and how long for that answer; learned from its own times. */
import { utils } from "@shedtiller/common";

/** Settings of the detector; the bench varies them. */
export interface SilenceOptions {
  /** Which of the recent times counts as the slowest ordinary one, from 0 to 1. */
  readonly quantile: number;
  /** How many times that one a call may be silent before the engine is asked. Asking too early costs one frame. */
  readonly factor: number;
  /** The deadline is never shorter than this. */
  readonly floorMs: number;
  /** How many times the slowest ordinary answer to a probe may take. Too short costs the rebuilding of a stage. */
  readonly probeFactor: number;
  /** How long the answer to a probe may take at the least. */
  readonly probeFloorMs: number;
  /** A probe goes out beside every so many calls, so that its times are known before they are needed; 0 for none. */
  readonly callsPerProbe: number;
}

export const defaultSilenceOptions: SilenceOptions = {
  quantile: 0.99,
  factor: 1.2,
  floorMs: 5,
  probeFactor: 2,
  probeFloorMs: 8,
  callsPerProbe: 32,
};

const initialProbes = 16;
const initialRatio = 4;
const initialProbeDeadlineMs = 100;

/** Learns the times of one engine. */
export class SilenceDetector {
  /** Times of calls, as multiples of what was expected. */
  private readonly _steps: utils.SampleWindow;
  private readonly _probes: utils.SampleWindow;
  private _calls = 0;

  constructor(private readonly _options: SilenceOptions = defaultSilenceOptions) {
    this._steps = new utils.SampleWindow({ share: _options.quantile });
    this._probes = new utils.SampleWindow({ share: _options.quantile });
  }

  /** Takes the time of an ended call. */
  recordStep(expectedMs: number, tookMs: number): void {
    this._steps.add(tookMs / expectedMs);
  }

  /** Whether this call should have a probe beside it. */
  isProbeDue(): boolean {
    this._calls += 1;
    const { callsPerProbe } = this._options;
    if (callsPerProbe === 0) return false;
    return this._calls <= initialProbes || this._calls % callsPerProbe === 0;
  }

  /** Takes the time of an answered probe. */
  recordProbe(tookMs: number): void {
    this._probes.add(tookMs);
  }

  /** How long a call that should take `expectedMs` may be silent before the engine is asked. */
  getStepDeadlineMs(expectedMs: number): number {
    const ratio = this._steps.quantile ?? initialRatio;
    return Math.max(this._options.floorMs, expectedMs * Math.max(1, ratio) * this._options.factor);
  }

  /** How long the engine's answer to a probe may take before the engine counts as lost. */
  getProbeDeadlineMs(): number {
    const slowestMs = this._probes.quantile;
    const learnedMs =
      slowestMs === undefined ? initialProbeDeadlineMs : slowestMs * this._options.probeFactor;
    return Math.max(this._options.probeFloorMs, learnedMs);
  }
}
