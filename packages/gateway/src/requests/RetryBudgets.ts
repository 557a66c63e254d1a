/** This instance's share of the retry budget that all instances have together for each service. */
import { utils } from "@shedtiller/common";
import { RetryBudget } from "@shedtiller/routing";

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
/**
 * How an instance uses its part of the slack in a window: what it may have saved up, what comes back with time, and what a new
 * process begins with, since the one before it may have used all of its own. One restart of all stays inside the slack.
 */
const reserveShare = 0.5;
const refillShare = 0.25;
const initialShare = 0.2;
/** Instances that the slack is shared among until the real number is known; too many is the safe side. */
const assumedInstances = 100;

interface ServiceBudget {
  readonly budget: RetryBudget;
  refilledAtMs: number;
}

/** One bucket a service. Each instance's share is safe alone, so no instance asks another. */
export class RetryBudgets {
  private readonly _budgets = new Map<string, ServiceBudget>();
  private _instances = assumedInstances;

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(
    private _options: RetryBudgetOptions,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Takes another budget of the deployment; what is in the buckets stays, within the new reserve. */
  setOptions(options: RetryBudgetOptions): void {
    const isSameRatio = options.ratio === this._options.ratio;
    this._options = options;
    if (!isSameRatio) this._budgets.clear();
    this.setInstances(this._instances);
  }

  /** Takes the number of instances that share the slack. */
  setInstances(count: number): void {
    this._instances = Math.max(1, count);
    for (const { budget } of this._budgets.values()) budget.setReserve(this._getPart() * reserveShare);
  }

  /** Notes a request to a service: it gives room for its share of a retry. */
  recordRequest(service: string): void {
    this._get(service).recordRequest();
  }

  /** Takes a retry for a service; tells whether there was room for it. */
  tryTake(service: string): boolean {
    return this._get(service).tryTake();
  }

  /** This instance's part of the slack. */
  private _getPart(): number {
    return this._options.slack / this._instances;
  }

  /** One retry at least, where that is inside the part: a part of a retry serves nobody. */
  private _getInitial(): number {
    const part = this._getPart();
    const spare = part * (1 - reserveShare - refillShare);
    return spare >= 1 ? Math.max(1, part * initialShare) : part * initialShare;
  }

  private _get(service: string): RetryBudget {
    const nowMs = this._nowMs();
    const known = this._budgets.get(service);
    if (known === undefined) return this._create(service, nowMs);
    this._refill(known, nowMs);
    return known.budget;
  }

  /** Gives back what came with the time since the last refill. */
  private _refill(known: ServiceBudget, nowMs: number): void {
    const windows = (nowMs - known.refilledAtMs) / this._options.windowMs;
    known.budget.refill(windows * this._getPart() * refillShare);
    known.refilledAtMs = nowMs;
  }

  private _create(service: string, nowMs: number): RetryBudget {
    const budget = new RetryBudget(
      this._options.ratio * ratioShare,
      this._getPart() * reserveShare,
      this._getInitial(),
    );
    this._budgets.set(service, { budget, refilledAtMs: nowMs });
    return budget;
  }
}
