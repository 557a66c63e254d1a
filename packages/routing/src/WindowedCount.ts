/** Slices per window. An event may be counted for up to one slice longer than the window. */
const slicesPerWindow = 20;

/**
 * Counts events over a sliding window, in slices, so that memory does not grow with the number of events. Every event is counted for at
 * least the whole window, so that a bound on the count holds for every window.
 */
export class WindowedCount {
  private readonly _slices = new Float64Array(slicesPerWindow + 1);
  private _slice = 0;
  private _sum = 0;

  /** @param _windowMs - Length of the window. */
  constructor(private readonly _windowMs: number) {}

  /** Counts an event at a monotonic time. */
  add(nowMs: number): void {
    this._advance(nowMs);
    const index = this._slice % this._slices.length;
    this._slices[index] = (this._slices[index] ?? 0) + 1;
    this._sum += 1;
  }

  /** Returns the number of events in the window that ends at a monotonic time. */
  get(nowMs: number): number {
    this._advance(nowMs);
    return this._sum;
  }

  /** Clears the slices that have left the window. */
  private _advance(nowMs: number): void {
    const slice = Math.floor((nowMs * slicesPerWindow) / this._windowMs);
    const passed = Math.min(this._slices.length, slice - this._slice);
    for (let step = 1; step <= passed; step++) {
      const index = (this._slice + step) % this._slices.length;
      this._sum -= this._slices[index] ?? 0;
      this._slices[index] = 0;
    }
    this._slice = Math.max(this._slice, slice);
  }
}
