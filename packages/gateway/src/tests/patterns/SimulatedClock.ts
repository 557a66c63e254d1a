/** Time that passes only when a test says so: waits end in their order, and all that they lead to is done before the next one. */
import { errors, utils } from "@shedtiller/common";

interface Wait {
  readonly atMs: number;
  readonly order: number;
  readonly end: () => void;
}

/** One clock a simulation. */
export class SimulatedClock {
  private _nowMs = 0;
  private _order = 0;
  /** A heap: the wait that ends first is at its root. */
  private readonly _waits: Wait[] = [];

  readonly nowMs = (): number => this._nowMs;

  /** Waits for `durationMs`, or rejects with `CancelledError` once `signal` aborts. */
  readonly sleep = (durationMs: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve, reject) => {
      const cancel = (): void => reject(new errors.CancelledError("A wait"));
      if (signal?.aborted === true) return cancel();
      signal?.addEventListener("abort", cancel, { once: true });
      this.at(this._nowMs + durationMs, () => {
        signal?.removeEventListener("abort", cancel);
        resolve();
      });
    });

  /** Calls `action` at a time. */
  at(atMs: number, action: () => void): void {
    this._waits.push({ atMs, order: this._order++, end: action });
    this._rise(this._waits.length - 1);
  }

  /** Lets time pass until `endMs`. */
  async run(endMs: number): Promise<void> {
    for (let next = this._waits[0]; next !== undefined && next.atMs <= endMs; next = this._waits[0]) {
      this._nowMs = Math.max(this._nowMs, next.atMs);
      this._takeFirst().end();
      // All tasks here wait on promises only, which are settled before the loop's next turn.
      await utils.yieldToEvents();
    }
    this._nowMs = endMs;
  }

  private _takeFirst(): Wait {
    const first = this._waits[0];
    const last = this._waits.pop();
    if (first === undefined || last === undefined) throw new RangeError("There is nothing to wait for.");
    if (this._waits.length > 0) {
      this._waits[0] = last;
      this._sink(0);
    }
    return first;
  }

  private _rise(index: number): void {
    for (let at = index; at > 0;) {
      const above = (at - 1) >> 1;
      if (!this._isBefore(at, above)) return;
      this._swap(at, above);
      at = above;
    }
  }

  private _sink(index: number): void {
    for (let at = index; ;) {
      const left = 2 * at + 1;
      const right = left + 1;
      const least = right < this._waits.length && this._isBefore(right, left) ? right : left;
      if (least >= this._waits.length || !this._isBefore(least, at)) return;
      this._swap(least, at);
      at = least;
    }
  }

  private _isBefore(one: number, other: number): boolean {
    const a = this._waits[one];
    const b = this._waits[other];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  private _swap(one: number, other: number): void {
    const a = this._waits[one];
    const b = this._waits[other];
    if (a === undefined || b === undefined) return;
    this._waits[one] = b;
    this._waits[other] = a;
  }
}
