/** Numbers of events in the latest slices of time, in a ring, so that memory does not grow with the number of events. */
export class SliceRing {
  private readonly _counts: Float64Array;
  private _slice = 0;

  /**
   * @param _sliceMs - Length of a slice.
   * @param keptSlices - Number of slices, including the current one.
   */
  constructor(
    private readonly _sliceMs: number,
    keptSlices: number,
  ) {
    this._counts = new Float64Array(keptSlices);
  }

  /** Counts an event in the current slice. */
  add(): void {
    this._counts[this._toIndex(0)] = this.get(0) + 1;
  }

  /** Returns the number of events in the slice that began `age` slices before the current one. */
  get(age: number): number {
    return this._counts[this._toIndex(age)] ?? 0;
  }

  /** Moves on to the slice of a monotonic time; returns the number of events in the slices that are not kept any more. */
  advance(nowMs: number): number {
    const slice = Math.floor(nowMs / this._sliceMs);
    const passed = Math.min(this._counts.length, slice - this._slice);
    this._slice = Math.max(this._slice, slice);
    let dropped = 0;
    for (let age = 0; age < passed; age++) {
      dropped += this.get(age);
      this._counts[this._toIndex(age)] = 0;
    }
    return dropped;
  }

  private _toIndex(age: number): number {
    const { length } = this._counts;
    return (((this._slice - age) % length) + length) % length;
  }
}
