/** A rate that forgets: an exponentially weighted sum over a time constant. */
import { utils } from "@shedtiller/common";

/** Measures events a second. */
export class RateMeter {
  private _sum = 0;
  private _atMs: number;

  /**
   * @param timeConstantMs - After this time an event counts 1/e.
   * @param _nowMs - Monotonic clock, replaced in tests.
   */
  constructor(
    readonly timeConstantMs: number,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    this._atMs = _nowMs();
  }

  add(amount: number): void {
    this._decay();
    this._sum += amount;
  }

  /** Amount a second. */
  getPerSecond(): number {
    this._decay();
    return (this._sum / this.timeConstantMs) * utils.msPerSecond;
  }

  private _decay(): void {
    const nowMs = this._nowMs();
    this._sum *= Math.exp(-(nowMs - this._atMs) / this.timeConstantMs);
    this._atMs = nowMs;
  }
}
