import { SliceRing } from "./SliceRing.js";

/** Slices per window. An event may be counted for up to one slice longer than the window. */
const slicesPerWindow = 20;

/**
 * Counts events over a sliding window. Every event is counted for at least the whole window, so that a bound on the count holds for every
 * window.
 */
export class WindowedCount {
  private readonly _ring: SliceRing;
  private _sum = 0;

  /** @param windowMs - Length of the window. */
  constructor(windowMs: number) {
    this._ring = new SliceRing(windowMs / slicesPerWindow, slicesPerWindow + 1);
  }

  /** Counts an event at a monotonic time. */
  add(nowMs: number): void {
    this._sum -= this._ring.advance(nowMs);
    this._ring.add();
    this._sum += 1;
  }

  /** Returns the number of events in the window that ends at a monotonic time. */
  get(nowMs: number): number {
    this._sum -= this._ring.advance(nowMs);
    return this._sum;
  }
}
