/** A budget that holds retries to a share of live traffic, so that a fault is not made worse by retrying. */

const defaultShare = 0.2;
const defaultReserve = 10;

/** Each request adds a share of a retry; each retry takes one. The reserve lets a quiet instance retry at all. */
export class RetryBudget {
  private _balance: number;

  /**
   * @param share - Retries allowed per request.
   * @param reserve - Largest balance.
   * @param initialBalance - Balance at the start; less than the reserve where a restart must not give a full one.
   */
  constructor(
    readonly share = defaultShare,
    private _reserve = defaultReserve,
    initialBalance = _reserve,
  ) {
    this._balance = initialBalance;
  }

  /** Largest balance. */
  get reserve(): number {
    return this._reserve;
  }

  /** Sets the largest balance; what is above it is lost, and nothing is added. */
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

  /** Takes one retry from the budget; tells whether there was one. */
  tryTake(): boolean {
    if (this._balance < 1) return false;
    this._balance -= 1;
    return true;
  }
}
