import { WindowedCount } from "@shedtiller/routing";

/** Sends within this time before a limit became known count against the limit. */
const chargedWindowMs = 1_000;

/** Usage of permits that the next request for permits reports. */
export interface PermitUsage {
  readonly used: number;
  /** Permits that expired unused. */
  readonly returned: number;
  /** Sends without a permit. */
  readonly charged: number;
}

/**
 * Stores the permits that this instance may use for one life of an endpoint with a limit, and counts its sends from before the limit became
 * known.
 */
export class LocalPermits {
  /** Monotonic times at which the local permits expire, the earliest first. */
  private _expiresAtMs: number[] = [];
  private _used = 0;
  private _returned = 0;
  private _unlimitedSends = new WindowedCount(chargedWindowMs);

  /** Returns the number of permits that may be used now. */
  getCount(nowMs: number): number {
    this._dropExpired(nowMs);
    return this._expiresAtMs.length;
  }

  add(count: number, expiresAtMs: number): void {
    for (let index = 0; index < count; index++) this._expiresAtMs.push(expiresAtMs);
    this._expiresAtMs.sort((a, b) => a - b);
  }

  /** Acquires a permit and returns the time at which the permit expires; undefined if there is none. */
  tryAcquire(nowMs: number): number | undefined {
    this._dropExpired(nowMs);
    const expiresAtMs = this._expiresAtMs.shift();
    if (expiresAtMs !== undefined) this._used += 1;
    return expiresAtMs;
  }

  /** Puts back a permit that was not used after all. */
  release(expiresAtMs: number): void {
    this.add(1, expiresAtMs);
    this._used -= 1;
  }

  /** Counts a send while no limit is known. */
  noteUnlimitedSend(nowMs: number): void {
    this._unlimitedSends.add(nowMs);
  }

  /** Returns the usage since the last call, and resets the counters. */
  getAndResetUsage(nowMs: number): PermitUsage {
    this._dropExpired(nowMs);
    // A permit that was reported as used and returned afterwards is deducted from the next usage.
    const usage = {
      used: Math.max(0, this._used),
      returned: this._returned,
      charged: this._unlimitedSends.get(nowMs),
    };
    this._used = Math.min(0, this._used);
    this._returned = 0;
    this._unlimitedSends = new WindowedCount(chargedWindowMs);
    return usage;
  }

  /** Removes all permits, for example when the limit has ended. */
  clear(): void {
    this._expiresAtMs = [];
    this._used = 0;
    this._returned = 0;
  }

  private _dropExpired(nowMs: number): void {
    const remaining = this._expiresAtMs.filter((expiresAtMs) => expiresAtMs > nowMs);
    this._returned += this._expiresAtMs.length - remaining.length;
    this._expiresAtMs = remaining;
  }
}
