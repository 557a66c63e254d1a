/**
 * Time that has passed, also while the machine was suspended. The steady clock of Node.js stands then, and with it every age, lease and
 * deadline that is measured by it: on waking, a process would act under rights that ran out meanwhile.
 *
 * The time of day goes on during a suspension, but may also jump by itself, either way. The time since the machine's start goes on too and
 * never jumps; where the platform gives it, it is the proof. Where it can't be relied on, a leap of the time of day counts as time that
 * passed: a right that ends too soon is asked for again, and one that ends too late does harm.
 */
import * as os from "node:os";
import { performance } from "node:perf_hooks";

/** The clocks of a machine, in milliseconds. */
export interface ClockSources {
  /** Goes on steadily while the process or the machine runs. */
  readonly steadyMs: () => number;
  /** The time of day. */
  readonly wallMs: () => number;
  /** Since the start of the machine; steps of 10 ms. */
  readonly uptimeMs: () => number;
}

const machineSources: ClockSources = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  uptimeMs: () => os.uptime() * 1_000,
};

/** Differences up to this come from the steps of the clocks, and from adjustments of the time of day. */
const leastLeapMs = 100;
/** The process may have been stopped between two readings that took longer than this together. */
const longestReadMs = 5;
/** The time since the start takes 5 µs to read, and is read no more often than this. */
const uptimeIntervalMs = 50;
/** The time since the start is compared with the steady clock over spans of this length, before it is relied on and ever after. */
const uptimeSpanMs = 1_000;

/** Whether the time since the machine's start can be relied on. */
type UptimeState = "untested" | "reliable" | "unreliable";

/** One clock a process. */
export class ElapsedClock {
  private _lostMs = 0;
  private _steadyMs: number;
  private _wallMs: number;
  private _uptimeState: UptimeState = "untested";
  private _uptimeMs: number;
  private _uptimeReadAtMs: number;
  /** Steady time at which the span under comparison began, and how far the other clock has run ahead of it since. */
  private _spanFromMs: number;
  private _spanAheadMs = 0;

  constructor(private readonly _sources: ClockSources = machineSources) {
    const { steadyMs, wallMs } = this._read();
    this._steadyMs = steadyMs;
    this._wallMs = wallMs;
    this._uptimeMs = _sources.uptimeMs();
    this._uptimeReadAtMs = steadyMs;
    this._spanFromMs = steadyMs;
  }

  /** Time that the steady clock did not count, as far as it was noticed. */
  get lostMs(): number {
    return this._lostMs;
  }

  /** Milliseconds since some moment before the clock was made; never goes back. */
  nowMs(): number {
    const { steadyMs, wallMs } = this._read();
    const leapMs = wallMs - this._wallMs - (steadyMs - this._steadyMs);
    this._steadyMs = steadyMs;
    this._wallMs = wallMs;
    const hasLeapt = leapMs > leastLeapMs;
    if (this._uptimeState !== "unreliable" && (hasLeapt || this._isUptimeDue(steadyMs)))
      this._lostMs += this._compareUptime(hasLeapt ? leapMs : 0);
    else if (hasLeapt) this._lostMs += leapMs;
    return steadyMs + this._lostMs;
  }

  /** The steady clock and the time of day as of one moment. */
  private _read(): { steadyMs: number; wallMs: number } {
    const { steadyMs, otherMs } = this._readWith(this._sources.wallMs);
    return { steadyMs, wallMs: otherMs };
  }

  /** The steady clock and another one as of one moment: read anew where the process was stopped in between. */
  private _readWith(readOther: () => number): { steadyMs: number; otherMs: number } {
    for (;;) {
      const steadyMs = this._sources.steadyMs();
      const otherMs = readOther();
      if (this._sources.steadyMs() - steadyMs <= longestReadMs) return { steadyMs, otherMs };
    }
  }

  private _isUptimeDue(steadyMs: number): boolean {
    return steadyMs - this._uptimeReadAtMs >= uptimeIntervalMs;
  }

  /** Gives the time that was lost since the last comparison. */
  private _compareUptime(leapMs: number): number {
    const { steadyMs, otherMs: uptimeMs } = this._readWith(this._sources.uptimeMs);
    const aheadMs = uptimeMs - this._uptimeMs - (steadyMs - this._uptimeReadAtMs);
    this._uptimeMs = uptimeMs;
    this._uptimeReadAtMs = steadyMs;
    const isConfirmed = Math.abs(aheadMs - leapMs) <= leastLeapMs;
    const isLost = aheadMs > leastLeapMs && (this._uptimeState === "reliable" || isConfirmed);
    if (!isLost) this._checkUptime(steadyMs, aheadMs);
    if (isLost) return aheadMs;
    return this._uptimeState === "reliable" ? 0 : leapMs;
  }

  /** Two clocks of one machine run alike; where they don't, this one tells nothing of suspensions. */
  private _checkUptime(steadyMs: number, aheadMs: number): void {
    this._spanAheadMs += aheadMs;
    if (Math.abs(this._spanAheadMs) > leastLeapMs) this._uptimeState = "unreliable";
    if (this._uptimeState === "unreliable" || steadyMs - this._spanFromMs < uptimeSpanMs) return;
    this._uptimeState = "reliable";
    this._spanFromMs = steadyMs;
    this._spanAheadMs = 0;
  }
}
