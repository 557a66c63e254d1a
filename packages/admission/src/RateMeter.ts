import { utils } from "@shedtiller/common";

/** Minimum age that is assumed of a new meter, so that its first events don't give an excessive rate. */
const minAgeMs = 500;

/** Measures a rate as an exponentially decaying sum over a time constant. */
export class RateMeter {
  private readonly _sum: utils.DecayingSum;
  private readonly _startedAtMs: number;

  /**
   * @param timeConstantMs - Time after which the weight of an event has decayed to 1/e.
   * @param _nowMs - Monotonic clock, replaced in tests.
   */
  constructor(
    readonly timeConstantMs: number,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    this._sum = new utils.DecayingSum(timeConstantMs);
    this._startedAtMs = _nowMs();
  }

  add(amount: number): void {
    this._sum.add(amount, this._nowMs());
  }

  /** Returns the amount per second, assuming no events before the meter was created. Suited to comparing meters of different ages. */
  getPerSecond(): number {
    return (this._sum.get(this._nowMs()) / this.timeConstantMs) * utils.msPerSecond;
  }

  /** Returns the amount per second, corrected for the time before the meter was created. Suited to predictions. */
  getCorrectedPerSecond(): number {
    const ageMs = Math.max(minAgeMs, this._nowMs() - this._startedAtMs);
    return this.getPerSecond() / (1 - Math.exp(-ageMs / this.timeConstantMs));
  }
}
