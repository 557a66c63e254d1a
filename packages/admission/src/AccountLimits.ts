/** Limits of client accounts, held over all instances by shares. */
import { results, utils } from "@shedtiller/common";
import { RateMeter } from "./RateMeter.js";
import { AdmissionRefusedError } from "./refusals.js";
import { getShare } from "./sharedLimit.js";

const demandTimeConstantMs = 2_000;
const secondsPerMinute = 60;
/** A bucket holds this much of its share, so that a short burst passes. */
const burstSeconds = 2;
const concurrencyRetryMs = 500;
const longestRetryMs = 60_000;
const accountsExchanged = 32;
const usageWorthTelling = 0.05;

/** The limits that the configuration gives an account. */
export interface AccountLimit {
  readonly concurrency?: number | undefined;
  readonly tokensPerMinute?: number | undefined;
}

/** Demand of one account at one instance, as it is told to the others. */
export type AccountDemand = [account: string, concurrency: number, tokensPerSecond: number];

interface AccountUsage {
  active: number;
  readonly wantedStarts: RateMeter;
  readonly wantedTokens: RateMeter;
  /** Tokens that may be used now; refilled by the share of the limit. */
  balanceTokens: number;
  balanceAtMs: number;
  durationMs: number;
}

/** What is held for a request while it runs. */
export interface AccountPermit {
  /** Ends the request, giving back what it did not use. */
  release(usedTokens: number): void;
}

/** Admits by the account's shares at this instance. */
export class AccountLimits {
  private readonly _usages = new Map<string, AccountUsage>();
  private readonly _otherDemands = new Map<
    string,
    { demands: Map<string, AccountDemand>; instanceCount: number }
  >();

  private _getInstanceCount: () => number = () => 1;

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Takes how the number of all instances is found, this one included, whether or not they have told their demands. */
  setInstanceCounter(getInstanceCount: () => number): void {
    this._getInstanceCount = getInstanceCount;
  }

  /** Admits a request of `tokens` (prompt and the longest answer), or tells when to come back. */
  tryAdmit(
    account: string,
    limit: AccountLimit,
    tokens: number,
  ): results.Result<AccountPermit, AdmissionRefusedError> {
    const usage = this._getUsage(account, limit);
    usage.wantedStarts.add(1);
    usage.wantedTokens.add(tokens);
    if (
      limit.concurrency !== undefined &&
      usage.active + 1 > this._getConcurrencyShare(account, usage, limit.concurrency)
    ) {
      return results.Err(new AdmissionRefusedError("account-concurrency", concurrencyRetryMs));
    }
    const waitMs =
      limit.tokensPerMinute === undefined ? 0 : this._tryTake(account, usage, limit.tokensPerMinute, tokens);
    if (waitMs > 0) return results.Err(new AdmissionRefusedError("account-tokens", waitMs));
    usage.active += 1;
    return results.Ok(this._createPermit(usage, tokens));
  }

  /** The demands that other instances should know, the largest first. */
  getDemands(): AccountDemand[] {
    const demands: AccountDemand[] = [];
    for (const [account, usage] of this._usages) {
      const demand: AccountDemand = [
        account,
        round(this._getConcurrencyDemand(usage)),
        round(usage.wantedTokens.getPerSecond()),
      ];
      if (demand[1] + demand[2] > usageWorthTelling) demands.push(demand);
      else if (usage.active === 0) this._usages.delete(account);
    }
    return demands.sort((a, b) => b[2] - a[2] || b[1] - a[1]).slice(0, accountsExchanged);
  }

  /** Demands of this instance and of the named others, in sum, for other zones. */
  getZoneDemands(names: ReadonlySet<string>): AccountDemand[] {
    const sums = new Map<string, AccountDemand>();
    const add = ([account, concurrency, tokens]: AccountDemand): void => {
      const known = sums.get(account);
      sums.set(account, [account, (known?.[1] ?? 0) + concurrency, (known?.[2] ?? 0) + tokens]);
    };
    this.getDemands().forEach(add);
    for (const [source, { demands }] of this._otherDemands)
      if (names.has(source)) [...demands.values()].forEach(add);
    return [...sums.values()].sort((a, b) => b[2] - a[2]).slice(0, accountsExchanged);
  }

  /**
   * Takes the demands that another instance, or another zone in sum, told. They stand until the next ones, also while
   * it is cut off.
   */
  setDemands(source: string, demands: readonly AccountDemand[], instanceCount = 1): void {
    const byAccount = new Map(demands.map((demand) => [demand[0], demand]));
    this._otherDemands.set(source, { demands: byAccount, instanceCount });
  }

  /** Forgets sources that are gone for good. */
  retainSources(sources: ReadonlySet<string>): void {
    for (const name of this._otherDemands.keys()) if (!sources.has(name)) this._otherDemands.delete(name);
  }

  private _getUsage(account: string, limit: AccountLimit): AccountUsage {
    const known = this._usages.get(account);
    if (known !== undefined) return known;
    const perSecond = (limit.tokensPerMinute ?? 0) / secondsPerMinute;
    const usage: AccountUsage = {
      active: 0,
      wantedStarts: new RateMeter(demandTimeConstantMs, this._nowMs),
      wantedTokens: new RateMeter(demandTimeConstantMs, this._nowMs),
      balanceTokens:
        (perSecond * burstSeconds) / Math.max(this._countHeard(account), this._getInstanceCount()),
      balanceAtMs: this._nowMs(),
      durationMs: utils.msPerSecond,
    };
    this._usages.set(account, usage);
    return usage;
  }

  /** Requests that would be under way if none were refused (Little's law), and never fewer than there are. */
  private _getConcurrencyDemand(usage: AccountUsage): number {
    const wanted = (usage.wantedStarts.getPerSecond() * usage.durationMs) / utils.msPerSecond;
    return Math.max(usage.active, wanted);
  }

  private _getConcurrencyShare(account: string, usage: AccountUsage, limit: number): number {
    const otherDemands = this._getOthers(account, 1);
    return Math.max(1, this._getShare(limit, this._getConcurrencyDemand(usage), otherDemands));
  }

  /** Takes tokens from the balance; gives the time until there will be enough, or 0. */
  private _tryTake(account: string, usage: AccountUsage, limitPerMinute: number, tokens: number): number {
    const limit = limitPerMinute / secondsPerMinute;
    const ownDemand = usage.wantedTokens.getPerSecond();
    const perSecond = this._getShare(limit, ownDemand, this._getOthers(account, 2));
    const nowMs = this._nowMs();
    const earned = ((nowMs - usage.balanceAtMs) / utils.msPerSecond) * perSecond;
    usage.balanceTokens = Math.min(Math.max(perSecond * burstSeconds, tokens), usage.balanceTokens + earned);
    usage.balanceAtMs = nowMs;
    if (usage.balanceTokens < tokens) {
      const waitMs =
        ((tokens - usage.balanceTokens) / Math.max(perSecond, Number.EPSILON)) * utils.msPerSecond;
      return Math.min(longestRetryMs, Math.max(1, waitMs));
    }
    usage.balanceTokens -= tokens;
    return 0;
  }

  private _countHeard(account: string): number {
    return this._getOthers(account, 1).length + 1;
  }

  /** Instances that have told nothing may want as much as any other: an equal part of the limit stays with each of them. */
  private _getShare(limit: number, ownDemand: number, otherDemands: readonly number[]): number {
    const heard = 1 + otherDemands.length;
    const known = Math.max(heard, this._getInstanceCount());
    return getShare({ limit: (limit * heard) / known, ownDemand, otherDemands });
  }

  private _getOthers(account: string, field: 1 | 2): number[] {
    const others: number[] = [];
    for (const { demands, instanceCount } of this._otherDemands.values()) {
      const each = (demands.get(account)?.[field] ?? 0) / instanceCount;
      for (let index = 0; index < instanceCount; index++) others.push(each);
    }
    return others;
  }

  private _createPermit(usage: AccountUsage, tokens: number): AccountPermit {
    const startMs = this._nowMs();
    let isReleased = false;
    return {
      release: (usedTokens) => {
        if (isReleased) return;
        isReleased = true;
        usage.active -= 1;
        usage.balanceTokens += Math.max(0, tokens - usedTokens);
        usage.durationMs += 0.1 * (this._nowMs() - startMs - usage.durationMs);
      },
    };
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
