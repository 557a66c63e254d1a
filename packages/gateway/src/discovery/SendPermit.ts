/** Receives permits that were not used. */
export interface PermitSource {
  /** @param expiresAtMs - Monotonic time at which the permit expires; undefined if the endpoint has no limit. */
  releasePermit(expiresAtMs: number | undefined): void;
}

/**
 * The right to send one request to an endpoint, within its stated limit and outside its requested back-off; taken right before the send.
 */
export class SendPermit {
  private _isReleased = false;

  /** @param _expiresAtMs - Monotonic time at which the permit expires; undefined if the endpoint has no limit. */
  constructor(
    private readonly _source: PermitSource,
    private readonly _expiresAtMs: number | undefined,
  ) {}

  /** Puts back the permit, since nothing was written to the endpoint. */
  release(): void {
    if (!this._isReleased) this._source.releasePermit(this._expiresAtMs);
    this._isReleased = true;
  }
}
