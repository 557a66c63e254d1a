/** This instance's share of the retry budget that all instances have together for each service. */
import { RetryBudget } from "@shedtiller/routing";

/** The budget of the whole deployment, from its settings. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly ratio: number;
  /** Retries allowed in a window beyond the ratio, over all instances. */
  readonly slack: number;
}

/** The share of the ratio in use; the rest covers requests that other instances count in another window. */
const ratioShare = 0.8;
/** A restarted instance begins with a full reserve, so only this share of the slack is dealt out. */
const slackShare = 0.5;

/** One bucket a service. Each instance's share is safe alone, so no instance asks another. */
export class RetryBudgets {
  private readonly _budgets = new Map<string, RetryBudget>();
  private _instances = 16;

  constructor(private readonly _options: RetryBudgetOptions) {}

  /** Takes the number of instances that share the slack. The largest number seen counts. */
  setInstances(count: number): void {
    if (count === this._instances) return;
    this._instances = Math.max(1, count);
    this._budgets.clear();
  }

  recordRequest(service: string): void {
    this._get(service).recordRequest();
  }

  tryTake(service: string): boolean {
    return this._get(service).tryTake();
  }

  private _get(service: string): RetryBudget {
    let budget = this._budgets.get(service);
    if (budget === undefined) {
      const reserve = (this._options.slack * slackShare) / this._instances;
      budget = new RetryBudget(this._options.ratio * ratioShare, reserve);
      this._budgets.set(service, budget);
    }
    return budget;
  }
}
