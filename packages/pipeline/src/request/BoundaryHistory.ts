/** Activations that passed a layer boundary, stored so that the stage behind it can be rebuilt without the others. */

/** Limits the bytes that all histories of a process store together. */
export class HistoryBudget {
  private _usedBytes = 0;

  /** @param limitBytes - Beyond this limit histories are dropped, and a lost stage is rebuilt from the prompt instead. */
  constructor(readonly limitBytes: number) {}

  /** Bytes that are reserved now. */
  get usedBytes(): number {
    return this._usedBytes;
  }

  /** Reserves bytes; returns false and reserves none if they exceed the limit. */
  tryReserve(sizeBytes: number): boolean {
    if (this._usedBytes + sizeBytes > this.limitBytes) return false;
    this._usedBytes += sizeBytes;
    return true;
  }

  /** Releases bytes that were reserved. */
  release(sizeBytes: number): void {
    this._usedBytes -= sizeBytes;
  }
}

/** Stores the activations of positions [0, length) at one boundary, within a budget. */
export class BoundaryHistory {
  private _chunks: Uint8Array[] = [];
  private _length = 0;
  private _sizeBytes = 0;
  private _isComplete = true;
  private _last: Uint8Array = new Uint8Array();
  private _lastFrom = 0;

  constructor(private readonly _budget: HistoryBudget) {}

  /** Number of positions that have passed the boundary. */
  get length(): number {
    return this._length;
  }

  /** Returns whether the activations of positions [from, length) are still stored. Those last added always are. */
  hasFrom(from: number): boolean {
    return this._isComplete || from >= this._lastFrom;
  }

  /** Adds the activations of the next positions. If they exceed the budget, all older ones are dropped. */
  add(activations: Uint8Array, count: number): void {
    this._last = activations;
    this._lastFrom = this._length;
    this._length += count;
    if (!this._isComplete) return;
    if (!this._budget.tryReserve(activations.byteLength)) return this.release();
    this._sizeBytes += activations.byteLength;
    this._chunks.push(activations);
  }

  /** Returns the activations of positions [from, length), for which `hasFrom` must be true. */
  getFrom(from: number): Uint8Array {
    if (from >= this._lastFrom)
      return slicePositions(this._last, this._length - this._lastFrom, from - this._lastFrom);
    const whole = this._chunks.length === 1 ? this._chunks[0] : Buffer.concat(this._chunks);
    const bytes = whole ?? new Uint8Array();
    this._chunks = [bytes];
    return slicePositions(bytes, this._length, from);
  }

  /** Drops all activations but those last added, and releases their bytes in the budget. */
  release(): void {
    this._budget.release(this._sizeBytes);
    this._sizeBytes = 0;
    this._chunks = [];
    this._isComplete = false;
  }
}

/** Returns the activations from position `from` on. All positions have the same size. */
function slicePositions(bytes: Uint8Array, count: number, from: number): Uint8Array {
  return from === 0 ? bytes : bytes.subarray((bytes.byteLength / Math.max(1, count)) * from);
}
