/** A sum whose summands lose weight with age, so that it needs neither slices nor a timer. */

/** Sums amounts that decay exponentially with their age. */
export class DecayingSum {
  private _sum = 0;
  private _atMs = 0;

  /** @param _windowMs - Age at which an amount has lost all but 1/e of its weight. */
  constructor(private readonly _windowMs: number) {}

  /** Adds an amount at a monotonic time. */
  add(amount: number, nowMs: number): void {
    this._sum = this.get(nowMs) + amount;
    this._atMs = Math.max(this._atMs, nowMs);
  }

  /** Returns the decayed sum at a monotonic time. */
  get(nowMs: number): number {
    return this._sum * Math.exp(-Math.max(0, nowMs - this._atMs) / this._windowMs);
  }
}
