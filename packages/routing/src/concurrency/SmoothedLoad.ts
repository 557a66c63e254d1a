/** Time constant of the smoothing: a few reports, so that the noise of single ones is averaged out. */
const timeConstantMs = 600;

/**
 * Smooths the number of requests that others have at an endpoint. Reports are older than a request usually takes, so that a single one tells
 * nothing about the requests that are there now, while their mean tells how busy the endpoint is.
 */
export class SmoothedLoad {
  private _requests = 0;
  private _atMs = Number.NEGATIVE_INFINITY;

  get requests(): number {
    return this._requests;
  }

  /** Adds the number of requests as last reported. */
  add(requests: number, nowMs: number): void {
    const weight = 1 - Math.exp(-(nowMs - this._atMs) / timeConstantMs);
    this._requests += weight * (requests - this._requests);
    this._atMs = nowMs;
  }
}
