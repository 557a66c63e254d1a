/** Hybrid logical clock (Kulkarni et al., 2014): wall-clock time and a counter that orders causes before effects. */
import { utils } from "@shedtiller/common";
import * as zod from "zod";

export const hybridStampSchema = zod.object({
  wallMs: zod.number(),
  counter: zod.number().int().nonnegative(),
});

/** A timestamp that orders events of several processes by wall-clock time, then by counter. */
export type HybridStamp = zod.infer<typeof hybridStampSchema>;

/** Compares two timestamps for sorting. */
export function compareStamps(a: HybridStamp, b: HybridStamp): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}

/** Creates the timestamps of a process, which never go back even if the wall clock does. */
export class HybridClock {
  private _last: HybridStamp = { wallMs: 0, counter: 0 };

  /** Returns the timestamp of a new local event. */
  next(): HybridStamp {
    const nowMs = utils.wallMs();
    this._last =
      nowMs > this._last.wallMs
        ? { wallMs: nowMs, counter: 0 }
        : { wallMs: this._last.wallMs, counter: this._last.counter + 1 };
    return this._last;
  }

  /** Advances the clock to the timestamp of another process, so that later local timestamps follow it. */
  observe(other: HybridStamp): void {
    if (compareStamps(other, this._last) > 0) this._last = other;
  }
}
