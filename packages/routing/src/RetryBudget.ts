import { utils } from "@shedtiller/common";

const defaultShare = 0.2;
const defaultReserve = 10;

/** Options of {@link RetryBudget}. */
export interface RetryBudgetTiming {
  /** Time in which a new process earns the reserve; by default it has the reserve at once. */
  readonly earnMs?: number;
  /** Monotonic clock; replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Token bucket that limits retries to a share of the requests, so that retries don't amplify a fault. Each request adds a fraction of a
 * token, and each retry takes one token. The reserve allows an instance with few requests to retry at all. It is earned with the age of the
 * process, so that processes that replace each other within that time have it once together.
 */
export class RetryBudget {
  private readonly _nowMs: () => number;
  private readonly _startedAtMs: number;
  private readonly _earnMs: number;
  /** Part of the reserve that has been added to the balance. */
  private _earned = 0;
  private _balance = 0;

  /**
   * @param share - Retries allowed per request.
   * @param reserve - Maximum balance.
   */
  constructor(
    readonly share = defaultShare,
    readonly reserve = defaultReserve,
    { earnMs = 0, nowMs = utils.monotonicMs }: RetryBudgetTiming = {},
  ) {
    this._nowMs = nowMs;
    this._earnMs = earnMs;
    this._startedAtMs = nowMs();
  }

  recordRequest(): void {
    this._balance = Math.min(this.reserve, this._balance + this.share);
  }

  /**
   * Withdraws one retry from the budget.
   * @returns Whether the budget allowed a retry.
   */
  tryWithdraw(): boolean {
    this._earn();
    if (this._balance < 1) return false;
    this._balance -= 1;
    return true;
  }

  private _earn(): void {
    const earnedShare =
      this._earnMs === 0 ? 1 : Math.min(1, (this._nowMs() - this._startedAtMs) / this._earnMs);
    const earned = this.reserve * earnedShare;
    this._balance = Math.min(this.reserve, this._balance + earned - this._earned);
    this._earned = earned;
  }
}
