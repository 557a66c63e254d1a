/** This instance's share of the retry budget that all instances have together for each service. */
import { utils } from "@shedtiller/common";
import { WindowedCount } from "@shedtiller/routing";

/** The budget of the whole deployment, from its settings. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in a window beyond the ratio, over all instances. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The share of the ratio in use; the rest covers requests that fall into another window than their retries. */
const ratioShare = 0.9;
/** The share of its part of the slack that a process uses in a window: one restart of all in a window stays inside the slack. */
const slackShare = 0.5;
/** Instances that the slack is shared among until the real number is known; too many is the safe side. */
const assumedInstances = 100;

interface ServiceCounts {
  readonly requests: WindowedCount;
  readonly retries: WindowedCount;
}

/**
 * Counts requests and retries of a sliding window, by service. Each instance's share is safe alone, so no instance asks another.
 * A share may be used up within a moment: engines refuse in bursts, and a bucket that holds one or two retries, as a part of the slack
 * among 195 instances is, refuses the third stream of a burst though the window's budget is hardly used.
 */
export class RetryBudgets {
  private readonly _counts = new Map<string, ServiceCounts>();
  /** Instances among which the slack is shared now. */
  private _sharers = assumedInstances;
  /** A smaller number of instances, and the monotonic time from which on it counts. */
  private _fewer: { readonly count: number; readonly fromMs: number } | undefined;
  private _hasRetried = false;

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(
    private _options: RetryBudgetOptions,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Takes another budget of the deployment. What was counted stays, unless the window has another length. */
  setOptions(options: RetryBudgetOptions): void {
    const isSameWindow = options.windowMs === this._options.windowMs;
    this._options = options;
    if (!isSameWindow) this._counts.clear();
  }

  /** Takes the number of instances that share the slack. Those that left may have used their parts of this window. */
  setInstanceCount(count: number): void {
    const sharers = Math.max(1, count);
    if (sharers >= this._sharers || !this._hasRetried) {
      this._sharers = sharers;
      this._fewer = undefined;
      return;
    }
    if (this._fewer?.count !== sharers) {
      this._fewer = { count: sharers, fromMs: this._nowMs() + this._options.windowMs };
    }
  }

  /** Notes a request to a service: it gives room for its share of a retry. */
  recordRequest(service: string): void {
    this._get(service).requests.add(this._nowMs());
  }

  /** Takes a retry for a service; tells whether there was room for it. */
  tryTake(service: string): boolean {
    const nowMs = this._nowMs();
    const { requests, retries } = this._get(service);
    const { ratio, slack } = this._options;
    const allowed = ratio * ratioShare * requests.get(nowMs) + (slack / this._getSharers(nowMs)) * slackShare;
    if (retries.get(nowMs) + 1 > allowed) return false;
    retries.add(nowMs);
    this._hasRetried = true;
    return true;
  }

  private _getSharers(nowMs: number): number {
    if (this._fewer !== undefined && nowMs >= this._fewer.fromMs) {
      this._sharers = this._fewer.count;
      this._fewer = undefined;
    }
    return this._sharers;
  }

  private _get(service: string): ServiceCounts {
    const known = this._counts.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this._options;
    const counts = { requests: new WindowedCount(windowMs), retries: new WindowedCount(windowMs) };
    this._counts.set(service, counts);
    return counts;
  }
}
