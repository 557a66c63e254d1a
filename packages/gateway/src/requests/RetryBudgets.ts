/** This instance's share of the retry budgets, which the deployment has per service for all instances together. */
import { utils } from "@shedtiller/common";
import { EstablishedCount, WindowedCount } from "@shedtiller/routing";
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

/**
 * Share of its part of the slack that an instance uses per window. The processes that replace its process within the window use the
 * remainder together. More than half, since endpoints fail far more often than instances start again.
 */
const slackUse = 0.6;

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

/** What the budget of a service allows this instance per window, and what is used of it. */
export interface RetryBudgetUse {
  readonly service: string;
  /** Retries that the requests allow. */
  readonly byRequests: number;
  /** Retries that this instance's part of the slack allows. */
  readonly bySlack: number;
  /** Retries that have arrived or were given up within the last window. */
  readonly ended: number;
  /** Retries that are granted and may arrive later. */
  readonly open: number;
}

interface ServiceCounts {
  readonly requests: EstablishedCount;
  /** Retries by the time at which they had arrived or were given up. */
  readonly retries: WindowedCount;
  /** Number of granted retries that have not arrived and have not been given up. */
  open: number;
}

/**
 * Counts requests and retries per service in a sliding window. The shares of all instances together stay within the budget, so the
 * instances need no coordination.
 *
 * A request pays for retries only once it is part of an established count: callers that move to another instance, or processes that replace
 * others, would pay for the retries of one window with the requests of two. A retry counts from its grant until a window after its arrival,
 * since a cut may hold it up and deliver it together with later ones.
 *
 * Each instance has an equal part of the slack. Once a process knows the instances, it earns a smaller share of that part within one window,
 * in proportion to the time, and has a larger one from then on. So in any window the process that runs at its beginning uses at most the
 * larger share, and the processes started later, which run one after the other, together at most the smaller one, however many they are.
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
    const earned = (nowMs - earnsSinceMs) / this._options.windowMs;
    const part = this._options.slack / this._getInstanceCount(sharing.count, nowMs);
    return part * (earned < 1 ? (1 - slackUse) * earned : slackUse);
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

  /** Withdraws a retry that arrives at once; returns false if the budget is exhausted. */
  tryWithdraw(service: string): boolean {
    const permit = this.tryReserve(service);
    permit?.use();
    permit?.end();
    return permit !== undefined;
  }

  /** Reserves a retry; returns undefined if the budget is exhausted. */
  tryReserve(service: string): RetryPermit | undefined {
    if (!this.canWithdraw(service)) {
      this._structure.count?.(service, "denied");
      return undefined;
    }
    const counts = this._get(service);
    counts.open += 1;
    return new RetryPermit({
      onSent: () => this._structure.count?.(service, "granted"),
      // The length of the window, and with it the counts, may have changed since.
      onOver: () => this._get(service).retries.add(this._nowMs()),
      onReleased: () => (counts.open -= 1),
    });
  }

  /** Returns whether the budget of a service allows a retry now. */
  canWithdraw(service: string): boolean {
    const { byRequests, bySlack, ended, open } = this._getUse(service);
    return ended + open + 1 <= byRequests + bySlack;
  }

  /** Returns the use of the budgets of all services. */
  getUses(): RetryBudgetUse[] {
    return [...this._counts.keys()].map((service) => this._getUse(service));
  }

  private _getUse(service: string): RetryBudgetUse {
    const nowMs = this._nowMs();
    const { requests, retries, open } = this._get(service);
    const byRequests = this._options.ratio * requests.get(nowMs);
    return { service, byRequests, bySlack: this.slackShare, ended: retries.get(nowMs), open };
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

  private _logShare(reason: "instance-count" | "settings"): void {
    const instances = this._instanceCount;
    const fullShare = instances === undefined ? 0 : (this._options.slack / instances) * slackUse;
    this._structure.log?.info("retry-share-changed", { reason, instances, fullShare, ...this._options });
  }

  private _get(service: string): ServiceCounts {
    const existing = this._counts.get(service);
    if (existing !== undefined) return existing;
    const { windowMs } = this._options;
    const counts = {
      requests: new EstablishedCount(windowMs),
      retries: new WindowedCount(windowMs),
      open: 0,
    };
    this._counts.set(service, counts);
    return counts;
  }
}
