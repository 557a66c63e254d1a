/** Failure detection of an engine by its response times. */
import { utils } from "@shedtiller/common";

/** Settings of {@link SilenceDetector}; benchmarks vary them. */
export interface SilenceOptions {
  /** Quantile of the recent response times that counts as the slowest normal one, from 0 to 1. */
  readonly quantile: number;
  /** Factor on the quantile after which an engine that has not replied is probed. Probing too early costs one frame. */
  readonly factor: number;
  /** Minimum deadline of a call. */
  readonly floorMs: number;
  /** Factor on the quantile of probe times after which the engine counts as lost. If too low, stages of live engines are rebuilt. */
  readonly probeFactor: number;
  /** Minimum deadline of a probe. */
  readonly probeFloorMs: number;
  /** Number of calls for each probe that is sent only to have a recent measurement of the probe time; 0 for no such probes. */
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

/**
 * Failure detector of one engine. From the recent response times it derives how long a call may take before the engine is
 * probed, and how long the probe may take before the engine counts as lost.
 */
export class SilenceDetector {
  /** Response times of calls, as multiples of the expected times. */
  private readonly _callRatios: utils.SampleWindow;
  private readonly _probeTimesMs: utils.SampleWindow;
  private _calls = 0;

  constructor(private readonly _options: SilenceOptions = defaultSilenceOptions) {
    this._callRatios = new utils.SampleWindow({ share: _options.quantile });
    this._probeTimesMs = new utils.SampleWindow({ share: _options.quantile });
  }

  /** Records the response time of a call. */
  recordCall(expectedMs: number, tookMs: number): void {
    this._callRatios.add(tookMs / expectedMs);
  }

  /** Counts a call, and returns whether a probe should be sent with it to measure the probe time. */
  isProbeDue(): boolean {
    this._calls += 1;
    const { callsPerProbe } = this._options;
    if (callsPerProbe === 0) return false;
    return this._calls <= initialProbes || this._calls % callsPerProbe === 0;
  }

  /** Records the response time of a probe. */
  recordProbe(tookMs: number): void {
    this._probeTimesMs.add(tookMs);
  }

  /** Returns how long a call that should take `expectedMs` may take before the engine is probed. */
  getCallDeadlineMs(expectedMs: number): number {
    const ratio = this._callRatios.quantile ?? initialRatio;
    return Math.max(this._options.floorMs, expectedMs * Math.max(1, ratio) * this._options.factor);
  }

  /** Returns how long a probe may take before the engine counts as lost. */
  getProbeDeadlineMs(): number {
    const slowestMs = this._probeTimesMs.quantile;
    const deadlineMs =
      slowestMs === undefined ? initialProbeDeadlineMs : slowestMs * this._options.probeFactor;
    return Math.max(this._options.probeFloorMs, deadlineMs);
  }
}
