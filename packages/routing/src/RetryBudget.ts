const defaultShare = 0.2;
const defaultReserve = 10;

/**
 * Token bucket that limits retries to a share of the requests, so that retries don't amplify a fault. Each request adds a fraction of a
 * token, and each retry takes one token. The reserve allows an instance with few requests to retry at all.
 */
export class RetryBudget {
  private _balance: number;

  /**
   * @param share - Retries allowed per request.
   * @param _reserve - Maximum balance.
   * @param initialBalance - Balance at the start; less than the reserve if a restart must not grant a full one.
   */
  constructor(
    readonly share = defaultShare,
    private _reserve = defaultReserve,
    initialBalance = _reserve,
  ) {
    this._balance = initialBalance;
  }

  /** The maximum balance. */
  get reserve(): number {
    return this._reserve;
  }

  /** Sets the maximum balance; a balance above the maximum is reduced, and nothing is added. */
  setReserve(reserve: number): void {
    this._reserve = reserve;
    this._balance = Math.min(this._balance, reserve);
  }

  recordRequest(): void {
    this.refill(this.share);
  }

  /** Adds retries, up to the reserve. */
  refill(retries: number): void {
    this._balance = Math.min(this.reserve, this._balance + retries);
  }

  /**
   * Withdraws one retry from the budget.
   * @returns Whether the budget allowed a retry.
   */
  tryWithdraw(): boolean {
    if (this._balance < 1) return false;
    this._balance -= 1;
    return true;
  }
}
