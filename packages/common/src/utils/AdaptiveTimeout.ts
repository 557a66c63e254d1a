/** Timeouts that adapt to the response time of each peer: they grow after each timeout and shrink again with faster answers. */

const growthFactor = 2;
/** Factor from the duration of an answer to the next timeout. */
const answerFactor = 2;

/**
 * Maintains an adaptive timeout for each peer name. With a fixed timeout, a peer that is permanently slower would always be taken for dead:
 * on a tenth of a CPU core, an engine's report takes longer than 400 ms, so that every request for a report timed out at 400 ms and was
 * repeated, and instances had no engines for 17 s.
 */
export class AdaptiveTimeout {
  private readonly _timeoutsMs = new Map<string, number>();

  constructor(
    private readonly _initialMs: number,
    private readonly _maxMs: number,
  ) {}

  /** Returns the current timeout for a peer. */
  getTimeoutMs(name: string): number {
    return this._timeoutsMs.get(name) ?? this._initialMs;
  }

  /** Records a timeout; returns whether the previous request timed out or was slow as well, which is evidence of a failed peer. */
  noteTimeout(name: string): boolean {
    const isRepeated = this._timeoutsMs.has(name);
    this._timeoutsMs.set(name, Math.min(this._maxMs, this.getTimeoutMs(name) * growthFactor));
    return isRepeated;
  }

  /** Records an answer that took `tookMs`. */
  noteAnswer(name: string, tookMs: number): void {
    const neededMs = tookMs * answerFactor;
    if (neededMs <= this._initialMs) this._timeoutsMs.delete(name);
    else this._timeoutsMs.set(name, Math.min(this._maxMs, neededMs));
  }
}
