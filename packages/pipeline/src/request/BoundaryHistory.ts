/** The activations that passed one layer boundary, kept so that the stage behind it can be rebuilt alone. */

/** Counts the bytes that all histories of a process hold together. */
export class HistoryBudget {
  private _usedBytes = 0;

  /** @param limitBytes - Beyond it histories are given up, and a lost stage is rebuilt from the prompt instead. */
  constructor(readonly limitBytes: number) {}

  get usedBytes(): number {
    return this._usedBytes;
  }

  tryTake(sizeBytes: number): boolean {
    if (this._usedBytes + sizeBytes > this.limitBytes) return false;
    this._usedBytes += sizeBytes;
    return true;
  }

  give(sizeBytes: number): void {
    this._usedBytes -= sizeBytes;
  }
}

/** Activations of positions [0, length) at one boundary, in order. */
export class BoundaryHistory {
  private _chunks: Uint8Array[] = [];
  private _length = 0;
  private _sizeBytes = 0;
  private _isComplete = true;

  constructor(private readonly _budget: HistoryBudget) {}

  /** Positions held. */
  get length(): number {
    return this._length;
  }

  /** Whether every position from 0 on is still held. */
  get isComplete(): boolean {
    return this._isComplete;
  }

  /** Adds the activations of the next positions. Beyond the budget the whole history is given up. */
  add(activations: Uint8Array, count: number): void {
    this._length += count;
    if (!this._isComplete) return;
    if (!this._budget.tryTake(activations.byteLength)) return this.release();
    this._sizeBytes += activations.byteLength;
    this._chunks.push(activations);
  }

  /** Gives the activations of positions [from, length). All positions are of one size. */
  getFrom(from: number): Uint8Array {
    const whole = this._chunks.length === 1 ? this._chunks[0] : Buffer.concat(this._chunks);
    const bytes = whole ?? new Uint8Array();
    this._chunks = [bytes];
    return bytes.subarray((bytes.byteLength / Math.max(1, this._length)) * from);
  }

  /** Gives the memory back. */
  release(): void {
    this._budget.give(this._sizeBytes);
    this._sizeBytes = 0;
    this._chunks = [];
    this._isComplete = false;
  }
}
