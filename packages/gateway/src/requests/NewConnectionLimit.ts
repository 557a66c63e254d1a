/** Numbers of connections since the last call. */
export interface ConnectionCounts {
  readonly accepted: number;
  /** Connections whose requests are rejected. */
  readonly refused: number;
}

/** Counts the new connections of a listener, and limits how many are accepted. */
export class NewConnectionLimit {
  private _limit: number | undefined;
  private _acceptedSinceSet = 0;
  private _accepted = 0;
  private _refused = 0;

  /** Whether there is a limit. */
  get isSet(): boolean {
    return this._limit !== undefined;
  }

  /**
   * Sets how many connections are accepted until the next call.
   * @param limit - Number of connections, or undefined for no limit.
   */
  set(limit: number | undefined): void {
    this._limit = limit;
    this._acceptedSinceSet = 0;
  }

  /** Counts a new connection; returns whether it is accepted. */
  tryAccept(): boolean {
    if (this._limit !== undefined && this._acceptedSinceSet >= this._limit) {
      this._refused += 1;
      return false;
    }
    this._accepted += 1;
    this._acceptedSinceSet += 1;
    return true;
  }

  /** Returns how many connections were accepted and refused since the last call. */
  takeCounts(): ConnectionCounts {
    const counts = { accepted: this._accepted, refused: this._refused };
    this._accepted = 0;
    this._refused = 0;
    return counts;
  }
}
