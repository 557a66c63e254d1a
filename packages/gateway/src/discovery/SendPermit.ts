/** The right to send one request to an endpoint: within the limit that it names, and not in a rest that it asked for. */

/** What takes back a permit. */
export interface PermitSource {
  /** @param expiresAtMs - When it runs out; undefined where the endpoint has no limit. */
  takeBack(expiresAtMs: number | undefined): void;
}

/** Taken right before a send. */
export class SendPermit {
  private _isGivenBack = false;

  /** @param _expiresAtMs - Undefined where the endpoint has no limit. */
  constructor(
    private readonly _source: PermitSource,
    private readonly _expiresAtMs: number | undefined,
  ) {}

  /** Gives it back, since nothing was written to the endpoint. */
  release(): void {
    if (!this._isGivenBack) this._source.takeBack(this._expiresAtMs);
    this._isGivenBack = true;
  }
}
