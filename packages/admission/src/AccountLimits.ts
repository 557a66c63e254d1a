import { results, utils } from "@shedtiller/common";
import { RateMeter } from "./RateMeter.js";
import { AdmissionRefusedError } from "./AdmissionRefusedError.js";
import { getShare } from "./sharedLimit.js";

const demandTimeConstantMs = 2_000;
const secondsPerMinute = 60;
/** Capacity of a token bucket, as the time that its share of the limit takes to fill it. It lets short bursts pass. */
const burstSeconds = 2;
const concurrencyRetryMs = 500;
const maxRetryMs = 60_000;
const maxExchangedAccounts = 32;
/** Demands below this, as the sum of concurrency and tokens per second, are not sent to other instances. */
const minExchangedDemand = 0.05;

/** The limits of an account in the configuration. */
export interface AccountLimit {
  readonly concurrency?: number | undefined;
  readonly tokensPerMinute?: number | undefined;
}

/** Demand of one account at one instance, as sent to the others. */
export type AccountDemand = [account: string, concurrency: number, tokensPerSecond: number];

interface AccountUsage {
  active: number;
  readonly demandedStarts: RateMeter;
  readonly demandedTokens: RateMeter;
  /** Tokens in the bucket, which is refilled at the instance's share of the limit. */
  balanceTokens: number;
  balanceAtMs: number;
  /** Moving average of the duration of the requests. */
  durationMs: number;
}

/** The concurrency slot and the tokens that are reserved for a request while it runs. */
export interface AccountPermit {
  /** Ends the request, and returns its unused tokens to the bucket. */
  release(usedTokens: number): void;
}

/**
 * Enforces the concurrency and token limits of client accounts. Each instance admits requests within its own share of a limit, which it
 * computes from the demands of all instances.
 */
export class AccountLimits {
  private readonly _usages = new Map<string, AccountUsage>();
  private readonly _otherDemands = new Map<
    string,
    { demands: Map<string, AccountDemand>; instanceCount: number }
  >();

  private _getInstanceCount: () => number = () => 1;

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Sets the source of the number of all instances, including this one and those that have not sent their demands. */
  setInstanceCounter(getInstanceCount: () => number): void {
    this._getInstanceCount = getInstanceCount;
  }

  /** Admits a request of `tokens` (prompt and maximum response), or returns an error with the time after which to retry. */
  tryAdmit(
    account: string,
    limit: AccountLimit,
    tokens: number,
  ): results.Result<AccountPermit, AdmissionRefusedError> {
    const usage = this._getUsage(account, limit);
    usage.demandedStarts.add(1);
    usage.demandedTokens.add(tokens);
    if (
      limit.concurrency !== undefined &&
      usage.active + 1 > this._getConcurrencyShare(account, usage, limit.concurrency)
    ) {
      return results.Err(new AdmissionRefusedError("account-concurrency", concurrencyRetryMs));
    }
    const waitMs =
      limit.tokensPerMinute === undefined
        ? 0
        : this._tryConsume(account, usage, limit.tokensPerMinute, tokens);
    if (waitMs > 0) return results.Err(new AdmissionRefusedError("account-tokens", waitMs));
    usage.active += 1;
    return results.Ok(this._createPermit(usage, tokens));
  }

  /** Returns the demands to send to other instances, the largest first. */
  getDemands(): AccountDemand[] {
    const demands: AccountDemand[] = [];
    for (const [account, usage] of this._usages) {
      const demand: AccountDemand = [
        account,
        round(this._getConcurrencyDemand(usage)),
        round(usage.demandedTokens.getPerSecond()),
      ];
      if (demand[1] + demand[2] > minExchangedDemand) demands.push(demand);
      else if (usage.active === 0) this._usages.delete(account);
    }
    return demands.sort((a, b) => b[2] - a[2] || b[1] - a[1]).slice(0, maxExchangedAccounts);
  }

  /** Returns the total demands of this instance and of the named others, for other zones. */
  getZoneDemands(names: ReadonlySet<string>): AccountDemand[] {
    const sums = new Map<string, AccountDemand>();
    const add = ([account, concurrency, tokens]: AccountDemand): void => {
      const known = sums.get(account);
      sums.set(account, [account, (known?.[1] ?? 0) + concurrency, (known?.[2] ?? 0) + tokens]);
    };
    this.getDemands().forEach(add);
    for (const [source, { demands }] of this._otherDemands)
      if (names.has(source)) [...demands.values()].forEach(add);
    return [...sums.values()].sort((a, b) => b[2] - a[2]).slice(0, maxExchangedAccounts);
  }

  /**
   * Sets the demands of another instance, or the total demands of another zone. They remain in effect until the next ones, also while the
   * source is disconnected.
   */
  setDemands(source: string, demands: readonly AccountDemand[], instanceCount = 1): void {
    const byAccount = new Map(demands.map((demand) => [demand[0], demand]));
    this._otherDemands.set(source, { demands: byAccount, instanceCount });
  }

  /** Drops the demands of sources that are not in the given set. */
  retainSources(sources: ReadonlySet<string>): void {
    for (const name of this._otherDemands.keys()) if (!sources.has(name)) this._otherDemands.delete(name);
  }

  private _getUsage(account: string, limit: AccountLimit): AccountUsage {
    const known = this._usages.get(account);
    if (known !== undefined) return known;
    const perSecond = (limit.tokensPerMinute ?? 0) / secondsPerMinute;
    const usage: AccountUsage = {
      active: 0,
      demandedStarts: new RateMeter(demandTimeConstantMs, this._nowMs),
      demandedTokens: new RateMeter(demandTimeConstantMs, this._nowMs),
      balanceTokens:
        (perSecond * burstSeconds) / Math.max(this._countReporting(account), this._getInstanceCount()),
      balanceAtMs: this._nowMs(),
      durationMs: utils.msPerSecond,
    };
    this._usages.set(account, usage);
    return usage;
  }

  /** Returns the requests that would be active if none were rejected (Little's law), but at least the active ones. */
  private _getConcurrencyDemand(usage: AccountUsage): number {
    const demanded = (usage.demandedStarts.getPerSecond() * usage.durationMs) / utils.msPerSecond;
    return Math.max(usage.active, demanded);
  }

  private _getConcurrencyShare(account: string, usage: AccountUsage, limit: number): number {
    const otherDemands = this._getOtherDemands(account, 1);
    return Math.max(1, this._getShare(limit, this._getConcurrencyDemand(usage), otherDemands));
  }

  /** Takes tokens from the bucket and returns 0, or returns the time until the bucket will contain enough. */
  private _tryConsume(account: string, usage: AccountUsage, limitPerMinute: number, tokens: number): number {
    const limit = limitPerMinute / secondsPerMinute;
    const ownDemand = usage.demandedTokens.getPerSecond();
    const perSecond = this._getShare(limit, ownDemand, this._getOtherDemands(account, 2));
    const nowMs = this._nowMs();
    const earned = ((nowMs - usage.balanceAtMs) / utils.msPerSecond) * perSecond;
    usage.balanceTokens = Math.min(Math.max(perSecond * burstSeconds, tokens), usage.balanceTokens + earned);
    usage.balanceAtMs = nowMs;
    if (usage.balanceTokens < tokens) {
      const waitMs =
        ((tokens - usage.balanceTokens) / Math.max(perSecond, Number.EPSILON)) * utils.msPerSecond;
      return Math.min(maxRetryMs, Math.max(1, waitMs));
    }
    usage.balanceTokens -= tokens;
    return 0;
  }

  private _countReporting(account: string): number {
    return this._getOtherDemands(account, 1).length + 1;
  }

  /**
   * Returns this instance's share of a limit. Instances that have sent no demands may have any demand, so each of them keeps an equal
   * share.
   */
  private _getShare(limit: number, ownDemand: number, otherDemands: readonly number[]): number {
    const reporting = 1 + otherDemands.length;
    const known = Math.max(reporting, this._getInstanceCount());
    return getShare({ limit: (limit * reporting) / known, ownDemand, otherDemands });
  }

  private _getOtherDemands(account: string, field: 1 | 2): number[] {
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
