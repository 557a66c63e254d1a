/** The activations that passed one layer boundary, kept so that the stage behind it can be rebuilt alone. */

/** Counts the bytes that all histories of a process hold together. */
export class HistoryBudget {
  private _usedBytes = 0;

  /** @param limitBytes - Beyond it histories are given up, and a lost stage is rebuilt from the prompt instead. */
  constructor(readonly limitBytes: number) {}

  get usedBytes(): number {
    return this._usedBytes;
  }

  tryReserve(sizeBytes: number): boolean {
    if (this._usedBytes + sizeBytes > this.limitBytes) return false;
    this._usedBytes += sizeBytes;
    return true;
  }

  release(sizeBytes: number): void {
    this._usedBytes -= sizeBytes;
  }
}

/** Activations of positions [0, length) at one boundary, in order. */
export class BoundaryHistory {
  private _chunks: Uint8Array[] = [];
  private _length = 0;
  private _sizeBytes = 0;
  private _isComplete = true;
  private _last: Uint8Array = new Uint8Array();
  private _lastFrom = 0;

  constructor(private readonly _budget: HistoryBudget) {}

  /** Positions held. */
  get length(): number {
    return this._length;
  }

  /** Whether the activations of positions [from, length) are still held. The newest ones always are. */
  hasFrom(from: number): boolean {
    return this._isComplete || from >= this._lastFrom;
  }

  /** Adds the activations of the next positions. Beyond the budget all but the newest are given up. */
  add(activations: Uint8Array, count: number): void {
    this._last = activations;
    this._lastFrom = this._length;
    this._length += count;
    if (!this._isComplete) return;
    if (!this._budget.tryReserve(activations.byteLength)) return this.release();
    this._sizeBytes += activations.byteLength;
    this._chunks.push(activations);
  }

  /** Gives the activations of positions [from, length), where `hasFrom` says that they are held. */
  getFrom(from: number): Uint8Array {
    if (from >= this._lastFrom)
      return slicePositions(this._last, this._length - this._lastFrom, from - this._lastFrom);
    const whole = this._chunks.length === 1 ? this._chunks[0] : Buffer.concat(this._chunks);
    const bytes = whole ?? new Uint8Array();
    this._chunks = [bytes];
    return slicePositions(bytes, this._length, from);
  }

  /** Gives the memory back. */
  release(): void {
    this._budget.release(this._sizeBytes);
    this._sizeBytes = 0;
    this._chunks = [];
    this._isComplete = false;
  }
}

/** Cuts the first positions off; all positions are of one size. */
function slicePositions(bytes: Uint8Array, count: number, from: number): Uint8Array {
  return from === 0 ? bytes : bytes.subarray((bytes.byteLength / Math.max(1, count)) * from);
}
