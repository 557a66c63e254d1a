/** A retry that the budget has granted. */

/** Counts as used from its send on; until then it is reserved, so that retries that wait for room and are sent together keep the budget. */
export class RetryPermit {
  private _isHeld = true;

  /**
   * @param _onUsed - Counts the retry in the budget.
   * @param _onReleased - Ends the reservation.
   */
  constructor(
    private readonly _onUsed: () => void,
    private readonly _onReleased: () => void,
  ) {}

  /** Counts the retry as sent now. Has no effect a second time. */
  use(): void {
    if (!this._isHeld) return;
    this.release();
    this._onUsed();
  }

  /** Returns the retry to the budget unless it has been sent. */
  release(): void {
    if (!this._isHeld) return;
    this._isHeld = false;
    this._onReleased();
  }
}
