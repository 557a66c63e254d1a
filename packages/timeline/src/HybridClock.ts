/** Hybrid logical clock (Kulkarni and others, 2014): wall time, and a counter that keeps causes before effects. */
import { utils } from "@shedtiller/common";
import * as zod from "zod";

export const hybridStampSchema = zod.object({
  wallMs: zod.number(),
  counter: zod.number().int().nonnegative(),
});

/** A stamp that orders events over processes: by wall time, then by counter. */
export type HybridStamp = zod.infer<typeof hybridStampSchema>;

/** Compares two stamps for sorting. */
export function compareStamps(a: HybridStamp, b: HybridStamp): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}

/** One process's clock. Its stamps never go back, also when the wall clock does. */
export class HybridClock {
  private _last: HybridStamp = { wallMs: 0, counter: 0 };

  /** Stamps a local event. */
  next(): HybridStamp {
    const nowMs = utils.wallMs();
    this._last =
      nowMs > this._last.wallMs
        ? { wallMs: nowMs, counter: 0 }
        : { wallMs: this._last.wallMs, counter: this._last.counter + 1 };
    return this._last;
  }

  /** Takes note of another process's stamp, so that later local stamps follow it. */
  observe(other: HybridStamp): void {
    if (compareStamps(other, this._last) > 0) this._last = other;
  }
}
