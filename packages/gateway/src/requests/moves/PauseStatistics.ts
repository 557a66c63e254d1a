/** The usual pauses between the events of streams, and the silence beyond which a stream is conspicuous. */
import { utils } from "@shedtiller/common";

/** Share of pauses that are usual; the longer ones include those of streams that stood still. */
const usualShare = 0.95;
/** The quantile is computed once in this many pauses, since an instance sees some hundred of them per second. */
const refreshEvery = 16;
/** A silence is conspicuous at this multiple of the usual longest pause. */
const usualPauseFactor = 2;
/** Smallest conspicuous silence as a share of the target pause: the rest is left for the move and the read at the new engine. */
const minTargetShare = 0.4;
/** Until pauses have been measured, a silence is conspicuous only once the stream is late. */
const maxTargetShare = 1;

/** Measures the pauses of the streams of this instance, by service. */
export class PauseStatistics {
  private readonly _windows = new Map<string, utils.SampleWindow>();

  /** Records the time between two reads of a stream that is not being moved. */
  add(service: string, pauseMs: number): void {
    let window = this._windows.get(service);
    if (window === undefined) {
      window = new utils.SampleWindow({ share: usualShare, refreshEvery });
      this._windows.set(service, window);
    }
    window.add(pauseMs);
  }

  /** Returns the usual longest pause; undefined before enough pauses have been measured. */
  getUsualMs(service: string): number | undefined {
    return this._windows.get(service)?.quantile;
  }

  /** Returns the silence from which on a stream with this target pause is conspicuous. */
  getLimitMs(service: string, targetPauseMs: number): number {
    const maxMs = targetPauseMs * maxTargetShare;
    const usualMs = this.getUsualMs(service);
    if (usualMs === undefined) return maxMs;
    return Math.min(maxMs, Math.max(targetPauseMs * minTargetShare, usualMs * usualPauseFactor));
  }
}
