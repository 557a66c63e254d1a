import type { RetryPermit } from "./RetryPermit.js";

/**
 * The sends of one request, and its granted retries. Any of the sends may be the one that arrives first, also the one that the others
 * replace. So the retries count as open until no send of the request can arrive any more.
 */
export class RequestSends {
  /** Granted retries that have not been sent. */
  private readonly _unsent: RetryPermit[] = [];
  /** Retries that may not have arrived yet. */
  private readonly _open: RetryPermit[] = [];
  private _sentCount = 0;
  private _openCount = 0;

  /** Whether a retry has been granted and not been sent. */
  get hasUnsentRetry(): boolean {
    return this._unsent.length > 0;
  }

  /** Adds a retry for one of the next sends. */
  addRetry(permit: RetryPermit): void {
    this._unsent.push(permit);
  }

  /** Records that the request is written to a connection. */
  noteSent(): void {
    this._sentCount += 1;
    this._openCount += 1;
    const permit = this._sentCount > 1 ? this._unsent.shift() : undefined;
    if (permit === undefined) return;
    permit.use();
    this._open.push(permit);
  }

  /** Records that a send has arrived, or can arrive no longer. */
  noteOver(): void {
    this._openCount -= 1;
    if (this._openCount > 0) return;
    for (const permit of this._open.splice(0)) permit.end();
  }

  /** Returns the retries that have not been sent to the budget. */
  releaseUnsent(): void {
    for (const permit of this._unsent.splice(0)) permit.release();
  }
}
