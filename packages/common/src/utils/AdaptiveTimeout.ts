/** How long to wait for peers that may be slow: more after each wait in vain, and less again as their answers allow. */

const growthFactor = 2;
/** A peer that has just taken so long may take this many times as long next. */
const answerFactor = 2;

/**
 * Waits by name. A wait that never grows makes a slow peer a dead one for good: where a process gets a tenth of a core, a report takes
 * longer than 400 ms, so that each was given up, asked for again and given up, and instances knew no engine for 17 s.
 */
export class AdaptiveTimeout {
  private readonly _waitsMs = new Map<string, number>();

  constructor(
    private readonly _firstMs: number,
    private readonly _longestMs: number,
  ) {}

  /** How long to wait for a peer now. */
  getTimeoutMs(name: string): number {
    return this._waitsMs.get(name) ?? this._firstMs;
  }

  /** Notes a wait in vain; tells whether it was a repeated one, which is evidence against the peer. */
  noteTimeout(name: string): boolean {
    const isRepeated = this._waitsMs.has(name);
    this._waitsMs.set(name, Math.min(this._longestMs, this.getTimeoutMs(name) * growthFactor));
    return isRepeated;
  }

  /** Notes an answer, and how long it took. */
  noteAnswer(name: string, tookMs: number): void {
    const neededMs = tookMs * answerFactor;
    if (neededMs <= this._firstMs) this._waitsMs.delete(name);
    else this._waitsMs.set(name, Math.min(this._longestMs, neededMs));
  }
}
