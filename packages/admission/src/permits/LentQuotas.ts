import { utils } from "@shedtiller/common";
import type { PermitRequest } from "./permitMessages.js";

/** Duration for which a quota share is lent. Each permit request renews it; otherwise it returns to the lender. */
export const loanMs = 1_000;
/** Quota shares of instances that are absent for this long are granted again, if more than half of all shares are present. */
const absentMs = 10_000;
const majority = 0.5;
/** Tolerance with which a sum of quota shares counts as the whole. */
const shareTolerance = 0.01;
/** Assumed number of instances until it is known. An overestimate is safe, since it makes the shares smaller. */
const assumedInstances = 100;

/** Dependencies of {@link LentQuotas}. */
export interface LentQuotasStructure {
  /** Returns the time since which an instance is known to use this one as its coordinator, or undefined if it does not. */
  readonly getKnownSinceMs: (name: string) => number | undefined;
  readonly nowMs: () => number;
}

/** An instance of this zone, or the coordinator of another zone. */
interface Lender extends Omit<PermitRequest, "wants"> {
  /** Time since which the lender has been using this coordinator and no other. */
  readonly sinceMs: number;
  readonly receivedAtMs: number;
}

/**
 * Tracks the quota shares that instances and zones have lent to one coordinator. Each instance owns an equal share of every limit and lends
 * it with each permit request. A share counts only once no other coordinator can still have it.
 */
export class LentQuotas {
  private readonly _lenders = new Map<string, Lender>();
  /** Time at which the shares of this zone were last lent to another coordinator, by the zone of the endpoints. */
  private readonly _lentAtMs = new Map<string, number>();
  /** Time since which less than the whole is present, by the zone of the endpoints. */
  private readonly _incompleteSinceMs = new Map<string, number>();

  constructor(private readonly _structure: LentQuotasStructure) {}

  /** Returns whether an instance or coordinator is a lender now. */
  has(name: string): boolean {
    return this._lenders.has(name);
  }

  /** Records the quota shares that are lent with a permit request. */
  addLoan(name: string, { lending, known, zones }: Omit<PermitRequest, "wants">): void {
    this._dropExpired();
    const receivedAtMs = this._structure.nowMs();
    const sinceMs = this._lenders.get(name)?.sinceMs ?? this._structure.getKnownSinceMs(name) ?? receivedAtMs;
    this._lenders.set(name, { lending, known, zones, sinceMs, receivedAtMs });
  }

  /** Lends the quota shares of this zone to another coordinator, for endpoints of the given zones, and returns what is lent. */
  lend(zones: readonly string[]): Pick<PermitRequest, "lending" | "known"> {
    this._dropExpired();
    const nowMs = this._structure.nowMs();
    for (const zone of zones) this._lentAtMs.set(zone, nowMs);
    return { lending: this._countPresent(undefined), known: this._getKnownByOwnZone() };
  }

  /** Returns the share of the limits of a zone's endpoints that this coordinator may grant, from 0 to 1. */
  getShare(zone: string): number {
    const nowMs = this._structure.nowMs();
    // Another coordinator may still grant the shares that were lent to it.
    if (nowMs - (this._lentAtMs.get(zone) ?? Number.NEGATIVE_INFINITY) < loanMs) return 0;
    const present = Math.min(1, this._countPresent(zone) / this.countInstances());
    if (present >= 1 - shareTolerance) {
      this._incompleteSinceMs.delete(zone);
      return present;
    }
    const sinceMs = this._incompleteSinceMs.get(zone) ?? nowMs;
    this._incompleteSinceMs.set(zone, sinceMs);
    return present > majority && nowMs - sinceMs >= absentMs ? 1 : present;
  }

  /**
   * Returns the highest number of instances that a lender reports, since an instance that has just started may not have discovered all. The
   * result is at least the number of lent shares, and an assumed number as long as no lender reports any.
   */
  countInstances(): number {
    const lenders = [...this._lenders.values()];
    const known = Math.max(0, ...lenders.map((lender) => lender.known));
    return known === 0
      ? assumedInstances
      : Math.max(known, utils.getSum(lenders.map(({ lending }) => lending)));
  }

  /**
   * Counts the instances whose quota shares are certainly lent to this coordinator and to no other.
   * @param zone - Zone of the endpoints; if undefined, only instances of this coordinator's zone count.
   */
  private _countPresent(zone: string | undefined): number {
    const nowMs = this._structure.nowMs();
    let sum = 0;
    for (const { lending, zones, sinceMs, receivedAtMs } of this._lenders.values()) {
      const isLent = zones === undefined || (zone !== undefined && zones.includes(zone));
      const isCertain = nowMs - sinceMs >= loanMs && nowMs - receivedAtMs < loanMs;
      if (isLent && isCertain) sum += lending;
    }
    return sum;
  }

  /**
   * Returns the highest number of instances that an instance of this zone reports. Numbers from other zones are excluded, since zones would
   * otherwise send them back and forth for ever.
   */
  private _getKnownByOwnZone(): number {
    const own = [...this._lenders.values()].filter(({ zones }) => zones === undefined);
    return Math.max(0, ...own.map(({ known }) => known));
  }

  private _dropExpired(): void {
    const oldestMs = this._structure.nowMs() - loanMs;
    for (const [name, { receivedAtMs }] of this._lenders)
      if (receivedAtMs < oldestMs) this._lenders.delete(name);
  }
}
