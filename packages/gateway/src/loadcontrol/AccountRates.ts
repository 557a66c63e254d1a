/** The requests of client accounts for services that reject requests by urgency, summed over all instances. */
import type { AccountDemands } from "@shedtiller/admission";
import { utils } from "@shedtiller/common";
import { WindowedSums } from "@shedtiller/routing";
import type { Figures } from "../peers/figures.js";
import type { SharedFigures } from "../peers/SharedFigures.js";

/** Time over which requests are counted: long enough for a share of small accounts, short against a burst. */
export const accountWindowMs = 4_000;
/** Accounts of a service that an instance names; the requests of its other accounts are counted together. */
const maxNamedAccounts = 64;
const maxKnownAccounts = 4_096;
const hashDigits = 8;
const hexadecimal = 16;

/** Not hexadecimal, unlike the names of accounts in figures. */
const restName = "rest";
const admittedName = "admitted";

const getKey = (service: string, name: string): string => `accounts/${service}/${name}`;

/** Counts this instance's requests by account, and adds up the counts of all instances. Each instance has one such object. */
export class AccountRates {
  /** By service. */
  private readonly _sums = new Map<string, WindowedSums>();
  private readonly _hashes = new utils.BoundedMap<string>(maxKnownAccounts);

  constructor(
    private readonly _figures: SharedFigures,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    _figures.addSource(() => this._getFigures());
  }

  /** Returns whether a service rejects requests by urgency now, by the decision of the collector. */
  isRejecting(service: string): boolean {
    return this._figures.isCurrent && (this._figures.getDecision(`levels/${service}`) ?? 0) > 0;
  }

  /** Age of the figures of the other instances. */
  get ageMs(): number {
    return this._figures.getAgeMs();
  }

  /** Records a request that arrived. */
  noteArrival(service: string, accountName: string | undefined): void {
    this._getSums(service).add(
      accountName === undefined ? restName : this._getHash(accountName),
      1,
      this._nowMs(),
    );
  }

  /** Records a request that was admitted. */
  noteAdmitted(service: string): void {
    this._getSums(service).add(admittedName, 1, this._nowMs());
  }

  /** Records that an admitted request was rejected after all. */
  noteRefused(service: string): void {
    this._getSums(service).add(admittedName, -1, this._nowMs());
  }

  /** Returns the requests for a service over all instances; accounts that one of them doesn't name have fewer there than they asked for. */
  getDemands(service: string, accountNames: readonly string[]): AccountDemands {
    const byAccount = new Map<string, number>();
    for (const name of accountNames) {
      const requests = this._getTotal(service, this._getHash(name));
      if (requests > 0) byAccount.set(name, requests);
    }
    return { byAccount, admitted: this._getTotal(service, admittedName) };
  }

  /** Returns the admitted requests per second over all instances. */
  getAdmittedPerSecond(service: string): number {
    return (this._getTotal(service, admittedName) / accountWindowMs) * utils.msPerSecond;
  }

  private _getTotal(service: string, name: string): number {
    const own = this._getSums(service).getSums(this._nowMs()).get(name) ?? 0;
    return Math.max(0, own, own + this._figures.getPeers(getKey(service, name)));
  }

  private _getSums(service: string): WindowedSums {
    const sums = this._sums.get(service) ?? new WindowedSums(accountWindowMs);
    this._sums.set(service, sums);
    return sums;
  }

  private _getHash(accountName: string): string {
    const hash =
      this._hashes.get(accountName) ??
      utils.hash32(accountName).toString(hexadecimal).padStart(hashDigits, "0");
    this._hashes.set(accountName, hash);
    return hash;
  }

  /** Returns the counts of the services that reject requests; the others need none. */
  private _getFigures(): Figures {
    const figures = new Map<string, number>();
    for (const [service, sums] of this._sums) {
      if (!this.isRejecting(service)) continue;
      for (const [name, count] of getNamed(sums.getSums(this._nowMs())))
        figures.set(getKey(service, name), count);
    }
    return figures;
  }
}

/** Returns the counts of the accounts with the most requests, and the sum of all others. */
function getNamed(counts: Figures): Figures {
  const isAccount = (name: string): boolean => name !== restName && name !== admittedName;
  const accounts = [...counts].filter(([name]) => isAccount(name));
  if (accounts.length <= maxNamedAccounts) return counts;
  accounts.sort(([, one], [, other]) => other - one);
  const named = new Map(accounts.slice(0, maxNamedAccounts));
  const unnamed = accounts.slice(maxNamedAccounts).map(([, count]) => count);
  named.set(restName, (counts.get(restName) ?? 0) + utils.getSum(unnamed));
  named.set(admittedName, counts.get(admittedName) ?? 0);
  return named;
}
