/** Simulated time, which advances only when a test runs it. */
import { errors, utils } from "@shedtiller/common";

interface Timer {
  readonly atMs: number;
  readonly order: number;
  readonly fire: () => void;
}

/**
 * Fires timers in the order of their times. All consequences of a timer are complete before the next one fires. One clock per simulation.
 */
export class SimulatedClock {
  private _nowMs = 0;
  private _order = 0;
  /** Binary heap with the next timer at its root. */
  private readonly _timers: Timer[] = [];

  readonly nowMs = (): number => this._nowMs;

  /** Resolves after `durationMs`, or rejects with `CancelledError` once `signal` aborts. */
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

  /** Schedules `action` for a time. */
  at(atMs: number, action: () => void): void {
    this._timers.push({ atMs, order: this._order++, fire: action });
    this._siftUp(this._timers.length - 1);
  }

  /** Advances the time to `endMs`. */
  async run(endMs: number): Promise<void> {
    for (let next = this._timers[0]; next !== undefined && next.atMs <= endMs; next = this._timers[0]) {
      this._nowMs = Math.max(this._nowMs, next.atMs);
      this._removeFirst().fire();
      // Tasks in a simulation await promises only, which are settled before the next turn of the event loop.
      await utils.yieldToEvents();
    }
    this._nowMs = endMs;
  }

  private _removeFirst(): Timer {
    const first = this._timers[0];
    const last = this._timers.pop();
    if (first === undefined || last === undefined) throw new RangeError("The clock has no timers.");
    if (this._timers.length > 0) {
      this._timers[0] = last;
      this._siftDown(0);
    }
    return first;
  }

  private _siftUp(index: number): void {
    for (let at = index; at > 0;) {
      const parent = (at - 1) >> 1;
      if (!this._isBefore(at, parent)) return;
      this._swap(at, parent);
      at = parent;
    }
  }

  private _siftDown(index: number): void {
    for (let at = index; ;) {
      const left = 2 * at + 1;
      const right = left + 1;
      const child = right < this._timers.length && this._isBefore(right, left) ? right : left;
      if (child >= this._timers.length || !this._isBefore(child, at)) return;
      this._swap(child, at);
      at = child;
    }
  }

  private _isBefore(one: number, other: number): boolean {
    const a = this._timers[one];
    const b = this._timers[other];
    if (a === undefined || b === undefined) return false;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  private _swap(one: number, other: number): void {
    const a = this._timers[one];
    const b = this._timers[other];
    if (a === undefined || b === undefined) return;
    this._timers[one] = b;
    this._timers[other] = a;
  }
}
