/** Receives permits that were not used. */
export interface PermitSource {
  /** @param expiresAtMs - Monotonic time at which the permit expires; undefined where the endpoint has no limit. */
  takeBack(expiresAtMs: number | undefined): void;
}

/**
 * The right to send one request to an endpoint, within its stated limit and outside its requested back-off; taken right before the send.
 */
export class SendPermit {
  private _isGivenBack = false;

  /** @param _expiresAtMs - Monotonic time at which the permit expires; undefined where the endpoint has no limit. */
  constructor(
    private readonly _source: PermitSource,
    private readonly _expiresAtMs: number | undefined,
  ) {}

  /** Puts back the permit, since nothing was written to the endpoint. */
  release(): void {
    if (!this._isGivenBack) this._source.takeBack(this._expiresAtMs);
    this._isGivenBack = true;
  }
}
