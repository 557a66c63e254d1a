/**
 * The parts of limits that instances and zones have lent to one coordinator. Each instance has an equal part of every limit; a part is lent
 * with each ask, and counts once no other coordinator can have it any more.
 */
import { utils } from "@shedtiller/common";
import type { PermitRequest } from "./permitMessages.js";

/** A part that is lent comes back after this without another ask. */
export const loanMs = 1_000;
/** Parts of instances that are gone for this long are handed out again, where more than half of all parts are present. */
const absentMs = 10_000;
const majority = 0.5;
/** Sums of parts are compared with the whole up to this. */
const partTolerance = 0.01;
/** Instances that there are taken to be until somebody knows their number; too many is the safe side. */
const assumedInstances = 100;

/** What the parts are found by. */
export interface LentQuotasStructure {
  /** Since when an instance is known to take this one for its coordinator; undefined where it is not. */
  readonly getKnownSinceMs: (name: string) => number | undefined;
  readonly nowMs: () => number;
}

/** An instance of the own zone, or the coordinator of another one. */
interface Lender extends Omit<PermitRequest, "wants"> {
  /** Since when it asks this coordinator and no other. */
  readonly sinceMs: number;
  readonly heardAtMs: number;
}

/** One for each coordinator. */
export class LentQuotas {
  private readonly _lenders = new Map<string, Lender>();
  /** When the parts of this zone were last lent to the coordinator that hands out for another one. */
  private readonly _lentAtMs = new Map<string, number>();
  /** Since when less than the whole is present, by the zone of endpoints. */
  private readonly _lackingSinceMs = new Map<string, number>();

  constructor(private readonly _structure: LentQuotasStructure) {}

  /** Whether somebody lends its part now. */
  has(name: string): boolean {
    return this._lenders.has(name);
  }

  /** Takes what somebody lends with an ask. */
  note(name: string, { lending, known, zones }: Omit<PermitRequest, "wants">): void {
    this._forgetSilent();
    const heardAtMs = this._structure.nowMs();
    const sinceMs = this._lenders.get(name)?.sinceMs ?? this._structure.getKnownSinceMs(name) ?? heardAtMs;
    this._lenders.set(name, { lending, known, zones, sinceMs, heardAtMs });
  }

  /** Lends the parts of the own zone to another coordinator, for endpoints of some zones; gives what is lent. */
  lend(zones: readonly string[]): Pick<PermitRequest, "lending" | "known"> {
    this._forgetSilent();
    const nowMs = this._structure.nowMs();
    for (const zone of zones) this._lentAtMs.set(zone, nowMs);
    return { lending: this._countPresent(undefined), known: this._getKnownByOwnZone() };
  }

  /** The part of the limits of a zone's endpoints that is handed out here. */
  getPart(zone: string): number {
    const nowMs = this._structure.nowMs();
    // What was lent may still be handed out elsewhere.
    if (nowMs - (this._lentAtMs.get(zone) ?? Number.NEGATIVE_INFINITY) < loanMs) return 0;
    const present = Math.min(1, this._countPresent(zone) / this.countInstances());
    if (present >= 1 - partTolerance) {
      this._lackingSinceMs.delete(zone);
      return present;
    }
    const sinceMs = this._lackingSinceMs.get(zone) ?? nowMs;
    this._lackingSinceMs.set(zone, sinceMs);
    return present > majority && nowMs - sinceMs >= absentMs ? 1 : present;
  }

  /** All instances that there are, as far as any lender knows: an instance that has just started may have met few of them. */
  countInstances(): number {
    const lenders = [...this._lenders.values()];
    const known = Math.max(0, ...lenders.map((lender) => lender.known));
    return known === 0
      ? assumedInstances
      : Math.max(known, utils.getSum(lenders.map(({ lending }) => lending)));
  }

  /**
   * Counts instances whose parts are lent to this one and surely to no other.
   * @param zone - Zone of the endpoints that the parts are lent for; left out, only instances of the own zone count.
   */
  private _countPresent(zone: string | undefined): number {
    const nowMs = this._structure.nowMs();
    let sum = 0;
    for (const { lending, zones, sinceMs, heardAtMs } of this._lenders.values()) {
      const isLent = zones === undefined || (zone !== undefined && zones.includes(zone));
      const isSure = nowMs - sinceMs >= loanMs && nowMs - heardAtMs < loanMs;
      if (isLent && isSure) sum += lending;
    }
    return sum;
  }

  /** What the instances of this zone know, without what other zones told: that would be told back and forth for ever. */
  private _getKnownByOwnZone(): number {
    const own = [...this._lenders.values()].filter(({ zones }) => zones === undefined);
    return Math.max(0, ...own.map(({ known }) => known));
  }

  private _forgetSilent(): void {
    const oldestMs = this._structure.nowMs() - loanMs;
    for (const [name, { heardAtMs }] of this._lenders) if (heardAtMs < oldestMs) this._lenders.delete(name);
  }
}
