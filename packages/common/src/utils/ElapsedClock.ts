/**
 * A monotonic clock that includes the time for which the machine was suspended. The steady clock of Node.js stops during a suspension, and
 * so does every age, lease and deadline measured with it: after resuming, a process would act under a lease that has expired.
 *
 * The wall clock continues during a suspension, but may also be set forward or back. The uptime of the machine continues as well and never
 * jumps, so it determines the length of a suspension wherever it is reliable. Elsewhere a forward jump of the wall clock counts as elapsed
 * time: a lease that ends too early is acquired again, while under one that ends too late, a process would act without holding the lease.
 */
import * as os from "node:os";
import { performance } from "node:perf_hooks";

/** The clocks of a machine, in milliseconds. */
export interface ClockSources {
  /** Returns the steady clock, which never jumps and stops while the machine is suspended. */
  readonly steadyMs: () => number;
  /** Returns the wall clock. */
  readonly wallMs: () => number;
  /** Returns the uptime of the machine, with a resolution of 10 ms. */
  readonly uptimeMs: () => number;
}

const machineSources: ClockSources = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  uptimeMs: () => os.uptime() * 1_000,
};

/** Smaller differences come from the resolution of the clocks and from gradual adjustments of the wall clock. */
const minJumpMs = 100;
/** The process may have been suspended between two readings that together took longer than this. */
const maxReadMs = 5;
/** Minimum interval between readings of the uptime, since one reading takes 5 µs. */
const uptimeIntervalMs = 50;
/** The uptime is compared with the steady clock over spans of this length, both before it counts as reliable and afterwards. */
const uptimeSpanMs = 1_000;

/** Whether the uptime of the machine is reliable. */
type UptimeState = "untested" | "reliable" | "unreliable";

/** Measures elapsed time including suspensions of the machine. All code of a process shares one clock, `monotonicMs`. */
export class ElapsedClock {
  private _lostMs = 0;
  private _steadyMs: number;
  private _wallMs: number;
  private _uptimeState: UptimeState = "untested";
  private _uptimeMs: number;
  private _uptimeReadAtMs: number;
  /** Steady time at which the current comparison span began, and by how much the uptime has run ahead of the steady clock since. */
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

  /** Total time that the steady clock missed, as far as detected. */
  get lostMs(): number {
    return this._lostMs;
  }

  /** Returns the steady clock, which never runs ahead of the time that has passed: a step of the wall clock does not count. */
  steadyMs(): number {
    return this._sources.steadyMs();
  }

  /** Returns the milliseconds since an arbitrary moment before the clock was created; never goes back. */
  nowMs(): number {
    const { steadyMs, wallMs } = this._read();
    const jumpMs = wallMs - this._wallMs - (steadyMs - this._steadyMs);
    this._steadyMs = steadyMs;
    this._wallMs = wallMs;
    const hasJumped = jumpMs > minJumpMs;
    if (this._uptimeState !== "unreliable" && (hasJumped || this._isUptimeDue(steadyMs)))
      this._lostMs += this._compareUptime(hasJumped ? jumpMs : 0);
    else if (hasJumped) this._lostMs += jumpMs;
    return steadyMs + this._lostMs;
  }

  /** Reads the steady clock and the wall clock at the same moment. */
  private _read(): { steadyMs: number; wallMs: number } {
    const { steadyMs, otherMs } = this._readWith(this._sources.wallMs);
    return { steadyMs, wallMs: otherMs };
  }

  /** Reads the steady clock and another clock at the same moment; reads them again if the process was suspended in between. */
  private _readWith(readOther: () => number): { steadyMs: number; otherMs: number } {
    for (;;) {
      const steadyMs = this._sources.steadyMs();
      const otherMs = readOther();
      if (this._sources.steadyMs() - steadyMs <= maxReadMs) return { steadyMs, otherMs };
    }
  }

  private _isUptimeDue(steadyMs: number): boolean {
    return steadyMs - this._uptimeReadAtMs >= uptimeIntervalMs;
  }

  /** Returns the time that the steady clock has missed since the last comparison. */
  private _compareUptime(jumpMs: number): number {
    const { steadyMs, otherMs: uptimeMs } = this._readWith(this._sources.uptimeMs);
    const aheadMs = uptimeMs - this._uptimeMs - (steadyMs - this._uptimeReadAtMs);
    this._uptimeMs = uptimeMs;
    this._uptimeReadAtMs = steadyMs;
    const isConfirmed = Math.abs(aheadMs - jumpMs) <= minJumpMs;
    const wasSuspended = aheadMs > minJumpMs && (this._uptimeState === "reliable" || isConfirmed);
    if (!wasSuspended) this._checkUptime(steadyMs, aheadMs);
    if (wasSuspended) return aheadMs;
    return this._uptimeState === "reliable" ? 0 : jumpMs;
  }

  /** Marks the uptime as unreliable if it diverges from the steady clock without a suspension; it then can't reveal suspensions. */
  private _checkUptime(steadyMs: number, aheadMs: number): void {
    this._spanAheadMs += aheadMs;
    if (Math.abs(this._spanAheadMs) > minJumpMs) this._uptimeState = "unreliable";
    if (this._uptimeState === "unreliable" || steadyMs - this._spanFromMs < uptimeSpanMs) return;
    this._uptimeState = "reliable";
    this._spanFromMs = steadyMs;
    this._spanAheadMs = 0;
  }
}
