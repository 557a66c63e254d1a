/** This instance's share of the retry budget that all instances have together for each service. */
import { RetryBudget } from "@shedtiller/routing";

/** The budget of the whole deployment, from its settings. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in a window beyond the ratio, over all instances. */
  readonly slack: number;
}

/** The share of the ratio in use; the rest covers requests that fall into another window than their retries. */
const ratioShare = 0.9;
/** The share of the slack that is dealt out. With the next figure, one restart of all instances in a window stays inside. */
const slackShare = 0.7;
/** A process begins with this share of its reserve, since the one before it may have used all of its own. */
const initialShare = 0.25;
/** Instances that the slack is shared among until the real number is known; too many is the safe side. */
const assumedInstances = 16;

/** One bucket a service. Each instance's share is safe alone, so no instance asks another. */
export class RetryBudgets {
  private readonly _budgets = new Map<string, RetryBudget>();
  private _instances = assumedInstances;

  constructor(private _options: RetryBudgetOptions) {}

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
    for (const budget of this._budgets.values()) budget.setReserve(this._getReserve());
  }

  recordRequest(service: string): void {
    this._get(service).recordRequest();
  }

  tryTake(service: string): boolean {
    return this._get(service).tryTake();
  }

  private _getReserve(): number {
    return (this._options.slack * slackShare) / this._instances;
  }

  private _get(service: string): RetryBudget {
    let budget = this._budgets.get(service);
    if (budget === undefined) {
      const reserve = this._getReserve();
      budget = new RetryBudget(this._options.ratio * ratioShare, reserve, reserve * initialShare);
      this._budgets.set(service, budget);
    }
    return budget;
  }
}
