/** A retry that the budget has granted. */

/** What a permit does in its budget. */
export interface RetryPermitStructure {
  /** Called when the retry is sent. */
  readonly onSent: () => void;
  /** Called once the retry has arrived, or can arrive no longer; from then on it counts for one window. */
  readonly onOver: () => void;
  /** Called when the permit takes no part of the budget by itself any more. */
  readonly onReleased: () => void;
}

/**
 * Takes a part of the budget until its retry is over, since the retry may reach its endpoint at any time until then, and counts for a window
 * from that moment on.
 */
export class RetryPermit {
  private _isHeld = true;
  private _isSent = false;

  constructor(private readonly _structure: RetryPermitStructure) {}

  /** Notes that the retry is sent now. */
  use(): void {
    if (this._isSent || !this._isHeld) return;
    this._isSent = true;
    this._structure.onSent();
  }

  /** Notes that a retry that was sent has arrived or can arrive no longer. */
  end(): void {
    if (!this._isSent || !this._isHeld) return;
    this._release();
    this._structure.onOver();
  }

  /** Returns the retry to the budget unless it has been sent. */
  release(): void {
    if (!this._isSent && this._isHeld) this._release();
  }

  private _release(): void {
    this._isHeld = false;
    this._structure.onReleased();
  }
}
