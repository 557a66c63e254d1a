/** This instance's share of the retry budgets, which the deployment has per service for all instances together. */
import { utils } from "@shedtiller/common";
import { WindowedCount } from "@shedtiller/routing";
import type { GatewaySettings } from "../gatewaySettings.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { SharingInstances } from "../peers/InstanceCount.js";
import { RetryPermit } from "./RetryPermit.js";

/** The retry budget of the whole deployment, from its settings. */
export interface RetryBudgetOptions {
  /** Allowed retries per request. */
  readonly ratio: number;
  /** Allowed retries per window beyond the ratio, over all instances. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Share of the ratio that is used; the remainder covers requests that are counted in another window than their retries. */
const ratioShare = 0.9;
/**
 * Share of its part of the slack that an instance uses per window. The processes that replace the first one within the window use the
 * other half together.
 */
const slackUse = 0.5;

/** Returns the budget of the settings. */
export function toBudgetOptions(retries: GatewaySettings["retries"]): RetryBudgetOptions {
  const { budgetRatio, budgetSlack, budgetWindowS } = retries;
  return { ratio: budgetRatio, slack: budgetSlack, windowMs: budgetWindowS * utils.msPerSecond };
}

/** What the budget of a service counts. */
export type RetryBudgetEvent = "request" | "granted" | "denied";

/** Dependencies of {@link RetryBudgets}. */
export interface RetryBudgetsStructure {
  /** Returns the instances that share the slack; undefined while they are not known, and then this instance has no part of the slack. */
  readonly getSharing?: () => SharingInstances | undefined;
  /** Monotonic clock; replaced in tests. */
  readonly nowMs?: () => number;
  readonly log?: Pick<DecisionLog, "info">;
  readonly count?: (service: string, event: RetryBudgetEvent) => void;
}

interface ServiceCounts {
  readonly requests: WindowedCount;
  readonly retries: WindowedCount;
  /** Number of granted retries that have not been sent. */
  reserved: number;
}

/**
 * Counts requests and retries per service in a sliding window. The shares of all instances together stay within the budget, so the
 * instances need no coordination.
 *
 * Each instance has an equal part of the slack. Once a process knows the instances, it earns half of that part within one window, in
 * proportion to the time, and may use the half in every window from then on. So in any window the process that runs at its beginning uses at
 * most one half, and the processes started later, which run one after the other, together at most the other half, however many they are.
 *
 * An instance may use its whole share at once. Engines reject requests in bursts, and a token bucket of one or two retries (the share of
 * the slack among 195 instances) would deny a retry to the third stream of a burst while most of the window's budget is unused.
 */
export class RetryBudgets {
  private readonly _counts = new Map<string, ServiceCounts>();
  /** Number of instances among which the slack is divided now; undefined while unknown. */
  private _instanceCount: number | undefined;
  /** A smaller number of instances that takes effect at the monotonic time `fromMs`. */
  private _pendingDecrease: { readonly count: number; readonly fromMs: number } | undefined;
  private readonly _nowMs: () => number;
  /** Monotonic time of the latest change of the length of the window. */
  private _windowChangedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private _options: RetryBudgetOptions,
    private readonly _structure: RetryBudgetsStructure = {},
  ) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Retries per window and service that this instance may send beyond the ratio. */
  get slackShare(): number {
    const nowMs = this._nowMs();
    const sharing = this._structure.getSharing?.();
    if (sharing === undefined) return 0;
    const earnsSinceMs = Math.max(sharing.sinceMs, this._windowChangedAtMs);
    const earned = Math.min(1, (nowMs - earnsSinceMs) / this._options.windowMs);
    return this._getFullShare(this._getInstanceCount(sharing.count, nowMs)) * earned;
  }

  /** Replaces the budget of the deployment. If the length of the window changes, counts and slack begin anew, as in a new process. */
  setOptions(options: RetryBudgetOptions): void {
    const isSameWindow = options.windowMs === this._options.windowMs;
    this._options = options;
    if (!isSameWindow) {
      this._counts.clear();
      this._windowChangedAtMs = this._nowMs();
    }
    this._logShare("settings");
  }

  /** Counts a request to a service, which adds its ratio of a retry to the budget. */
  recordRequest(service: string): void {
    this._get(service).requests.add(this._nowMs());
    this._structure.count?.(service, "request");
  }

  /** Withdraws a retry that is sent now; returns false if the budget is exhausted. */
  tryWithdraw(service: string): boolean {
    const permit = this.tryReserve(service);
    permit?.use();
    return permit !== undefined;
  }

  /** Reserves a retry that is sent later, or not at all; returns undefined if the budget is exhausted. */
  tryReserve(service: string): RetryPermit | undefined {
    if (!this.canWithdraw(service)) {
      this._structure.count?.(service, "denied");
      return undefined;
    }
    const counts = this._get(service);
    counts.reserved += 1;
    return new RetryPermit(
      () => {
        // The length of the window, and with it the counts, may have changed since.
        this._get(service).retries.add(this._nowMs());
        this._structure.count?.(service, "granted");
      },
      () => (counts.reserved -= 1),
    );
  }

  /** Returns whether the budget of a service allows a retry now. */
  canWithdraw(service: string): boolean {
    const nowMs = this._nowMs();
    const { requests, retries, reserved } = this._get(service);
    const allowed = this._options.ratio * ratioShare * requests.get(nowMs) + this.slackShare;
    return retries.get(nowMs) + reserved + 1 <= allowed;
  }

  /**
   * Returns the number of instances among which the slack is divided. A decrease takes effect one window later, since the instances that left
   * may have used their shares of the current window.
   */
  private _getInstanceCount(count: number, nowMs: number): number {
    const current = this._instanceCount ?? count;
    if (count >= current) this._pendingDecrease = undefined;
    else if (this._pendingDecrease?.count !== count)
      this._pendingDecrease = { count, fromMs: nowMs + this._options.windowMs };
    const isDue = this._pendingDecrease !== undefined && nowMs >= this._pendingDecrease.fromMs;
    const inEffect = count >= current || isDue ? count : current;
    if (inEffect === this._instanceCount) return inEffect;
    this._instanceCount = inEffect;
    this._pendingDecrease = undefined;
    this._logShare("instance-count");
    return inEffect;
  }

  /** Returns the share of the slack of a process that has run for a window. */
  private _getFullShare(instanceCount: number): number {
    return (this._options.slack / instanceCount) * slackUse;
  }

  private _logShare(reason: "instance-count" | "settings"): void {
    const instances = this._instanceCount;
    const fullShare = instances === undefined ? 0 : this._getFullShare(instances);
    this._structure.log?.info("retry-share-changed", { reason, instances, fullShare, ...this._options });
  }

  private _get(service: string): ServiceCounts {
    const existing = this._counts.get(service);
    if (existing !== undefined) return existing;
    const { windowMs } = this._options;
    const counts = {
      requests: new WindowedCount(windowMs),
      retries: new WindowedCount(windowMs),
      reserved: 0,
    };
    this._counts.set(service, counts);
    return counts;
  }
}
