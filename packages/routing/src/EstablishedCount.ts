import { SliceRing } from "./SliceRing.js";

/** Slices per window. */
const slicesPerWindow = 20;
/** Any window contains this many whole slices. */
const wholeSlices = slicesPerWindow - 1;
/** The current slice, and those of the windows that end within the last window. */
const keptSlices = slicesPerWindow + wholeSlices + 1;

/**
 * Counts the events that a window has had for some time: the smallest count among the windows that end within the last window. So it is at
 * most the count of any window that ended that recently, which several counters then have in common: at a moment within a window, each of
 * them returns at most its events of the window before, and together they return at most all events of that window, however the events
 * move from one counter to another.
 */
export class EstablishedCount {
  private readonly _ring: SliceRing;

  /** @param windowMs - Length of the window. */
  constructor(windowMs: number) {
    this._ring = new SliceRing(windowMs / slicesPerWindow, keptSlices);
  }

  /** Counts an event at a monotonic time. */
  add(nowMs: number): void {
    this._ring.advance(nowMs);
    this._ring.add();
  }

  /** Returns the smallest number of events in the windows that end within the last window, of which only whole slices count. */
  get(nowMs: number): number {
    this._ring.advance(nowMs);
    let sum = 0;
    let smallest = Number.POSITIVE_INFINITY;
    for (let age = keptSlices - 1; age >= 1; age--) {
      sum += this._ring.get(age);
      if (age > keptSlices - wholeSlices) continue;
      smallest = Math.min(smallest, sum);
      sum -= this._ring.get(age + wholeSlices - 1);
    }
    return smallest;
  }
}
