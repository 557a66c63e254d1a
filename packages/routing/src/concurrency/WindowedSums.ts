/** Slices per window. An amount may be counted for up to one slice longer than the window. */
const slicesPerWindow = 8;

interface Slice {
  readonly index: number;
  readonly amounts: Map<string, number>;
}

/**
 * Sums named amounts over a sliding window, in slices. A sum changes only when an amount is added or a slice ends, so that messages with the
 * sums need not be sent while nothing happens.
 */
export class WindowedSums {
  private readonly _sliceMs: number;
  private _slices: Slice[] = [];
  private _sums: Map<string, number> | undefined;

  /** @param windowMs - Length of the window. */
  constructor(windowMs: number) {
    this._sliceMs = windowMs / slicesPerWindow;
  }

  /** Adds an amount at a monotonic time. */
  add(key: string, amount: number, nowMs: number): void {
    this._expire(nowMs);
    const { amounts } = this._getNewest(nowMs);
    amounts.set(key, (amounts.get(key) ?? 0) + amount);
    this._sums = undefined;
  }

  /** Returns the sums over the window that ends at a monotonic time. */
  getSums(nowMs: number): ReadonlyMap<string, number> {
    this._expire(nowMs);
    this._sums ??= this._addUp();
    return this._sums;
  }

  private _getNewest(nowMs: number): Slice {
    const index = Math.floor(nowMs / this._sliceMs);
    const newest = this._slices.at(-1);
    if (newest !== undefined && newest.index >= index) return newest;
    const created = { index, amounts: new Map<string, number>() };
    this._slices.push(created);
    return created;
  }

  private _expire(nowMs: number): void {
    const oldest = Math.floor(nowMs / this._sliceMs) - slicesPerWindow;
    if ((this._slices[0]?.index ?? oldest) >= oldest) return;
    this._slices = this._slices.filter(({ index }) => index >= oldest);
    this._sums = undefined;
  }

  private _addUp(): Map<string, number> {
    const sums = new Map<string, number>();
    for (const { amounts } of this._slices) {
      for (const [key, amount] of amounts) sums.set(key, (sums.get(key) ?? 0) + amount);
    }
    return sums;
  }
}
