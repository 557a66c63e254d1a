/** A rate that forgets: an exponentially weighted sum over a time constant. */
import { utils } from "@shedtiller/common";

const youngestMs = 500;

/** Measures events a second. */
export class RateMeter {
  private _sum = 0;
  private _atMs: number;
  private readonly _startedAtMs: number;

  /**
   * @param timeConstantMs - After this time an event counts 1/e.
   * @param _nowMs - Monotonic clock, replaced in tests.
   */
  constructor(
    readonly timeConstantMs: number,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    this._atMs = _nowMs();
    this._startedAtMs = this._atMs;
  }

  add(amount: number): void {
    this._decay();
    this._sum += amount;
  }

  /** Amount a second, as if nothing had been before the meter was made. Fit for comparing meters of different ages. */
  getPerSecond(): number {
    this._decay();
    return (this._sum / this.timeConstantMs) * utils.msPerSecond;
  }

  /** Amount a second over what a young meter has seen. Fit for predicting. */
  getSeenPerSecond(): number {
    const ageMs = Math.max(youngestMs, this._nowMs() - this._startedAtMs);
    return this.getPerSecond() / (1 - Math.exp(-ageMs / this.timeConstantMs));
  }

  private _decay(): void {
    const nowMs = this._nowMs();
    this._sum *= Math.exp(-(nowMs - this._atMs) / this.timeConstantMs);
    this._atMs = nowMs;
  }
}
