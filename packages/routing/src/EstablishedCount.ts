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
  private readonly _slices = new Float64Array(keptSlices);
  private _slice = Number.NEGATIVE_INFINITY;

  /** @param _windowMs - Length of the window. */
  constructor(private readonly _windowMs: number) {}

  /** Counts an event at a monotonic time. */
  add(nowMs: number): void {
    this._advance(nowMs);
    const index = toIndex(this._slice);
    this._slices[index] = (this._slices[index] ?? 0) + 1;
  }

  /** Returns the smallest number of events in the windows that end within the last window, of which only whole slices count. */
  get(nowMs: number): number {
    this._advance(nowMs);
    let sum = 0;
    let smallest = Number.POSITIVE_INFINITY;
    for (let age = keptSlices - 1; age >= 1; age--) {
      sum += this._getSlice(age);
      if (age > keptSlices - wholeSlices) continue;
      smallest = Math.min(smallest, sum);
      sum -= this._getSlice(age + wholeSlices - 1);
    }
    return smallest;
  }

  /** Returns the number of events in the slice that began `age` slices before the current one. */
  private _getSlice(age: number): number {
    return this._slices[toIndex(this._slice - age)] ?? 0;
  }

  /** Clears the slices that are not kept any more. */
  private _advance(nowMs: number): void {
    const slice = Math.floor((nowMs * slicesPerWindow) / this._windowMs);
    const passed = Math.min(keptSlices, slice - this._slice);
    for (let step = 0; step < passed; step++) this._slices[toIndex(slice - step)] = 0;
    this._slice = Math.max(this._slice, slice);
  }
}

function toIndex(slice: number): number {
  return ((slice % keptSlices) + keptSlices) % keptSlices;
}
