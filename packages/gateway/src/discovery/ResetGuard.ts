/**
 * Tells an endpoint that resets every request from one that lost its connections once. An endpoint that fails at once always has the
 * least load and so attracts all requests: one engine of 190 took 3,751 sends within 6.6 s of an overloaded day, and 3,100 streams ended
 * with them.
 */

/** After one reset the endpoint is left alone for this long, so that the same request goes elsewhere. */
const firstAvoidanceMs = 50;
/** After a second one without an answer between them it is left alone for this long, and for twice as long after each further one. */
const secondAvoidanceMs = 500;
/** Endpoints that fail so are sound again after some seconds; they are tried this often. */
const longestAvoidanceMs = 4_000;

/** One guard an endpoint, with what this instance has seen itself. */
export class ResetGuard {
  private _resets = 0;
  private _notedAtMs = Number.NEGATIVE_INFINITY;
  private _avoidedUntilMs = 0;

  /** Notes that an endpoint answered. */
  noteAnswered(): void {
    this._resets = 0;
  }

  /**
   * Notes a connection that was lost before any answer. Those that were lost with it count as one.
   * @param sentAtMs - Monotonic time at which the request was sent.
   */
  noteReset(sentAtMs: number, nowMs: number): void {
    if (sentAtMs <= this._notedAtMs) return;
    this._notedAtMs = nowMs;
    this._resets += 1;
    const avoidanceMs =
      this._resets === 1
        ? firstAvoidanceMs
        : Math.min(longestAvoidanceMs, secondAvoidanceMs * 2 ** (this._resets - 2));
    this._avoidedUntilMs = nowMs + avoidanceMs;
  }

  /** Whether the endpoint gets nothing new from this instance now. */
  isAvoided(nowMs: number): boolean {
    return nowMs < this._avoidedUntilMs;
  }
}
