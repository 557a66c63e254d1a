import { utils } from "@shedtiller/common";

/** Minimum age that is assumed of a new meter, so that its first events don't give an excessive rate. */
const minAgeMs = 500;

/** Measures a rate as an exponentially decaying sum over a time constant. */
export class RateMeter {
  private _sum = 0;
  private _atMs: number;
  private readonly _startedAtMs: number;

  /**
   * @param timeConstantMs - Time after which the weight of an event has decayed to 1/e.
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

  /** Returns the amount per second, assuming no events before the meter was created. Suited to comparing meters of different ages. */
  getPerSecond(): number {
    this._decay();
    return (this._sum / this.timeConstantMs) * utils.msPerSecond;
  }

  /** Returns the amount per second, corrected for the time before the meter was created. Suited to predictions. */
  getCorrectedPerSecond(): number {
    const ageMs = Math.max(minAgeMs, this._nowMs() - this._startedAtMs);
    return this.getPerSecond() / (1 - Math.exp(-ageMs / this.timeConstantMs));
  }

  private _decay(): void {
    const nowMs = this._nowMs();
    this._sum *= Math.exp(-(nowMs - this._atMs) / this.timeConstantMs);
    this._atMs = nowMs;
  }
}
