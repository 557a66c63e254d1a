/** Seeded random numbers, so that a run can be repeated. */
import prand from "pure-rand";

const range32 = 4294967296;

const firstNumbersSkipped = 16;

/** A stream of random numbers from one seed (xoroshiro128+). */
export class RandomSource {
  private readonly _generator: prand.RandomGenerator;

  constructor(seed: number) {
    this._generator = prand.xoroshiro128plus(seed);
    // The first numbers of a small seed are near the ends of the range.
    for (let skipped = 0; skipped < firstNumbersSkipped; skipped++) this._generator.unsafeNext();
  }

  /** A number from 0 up to, not including, 1. */
  nextUnit(): number {
    return (this._generator.unsafeNext() >>> 0) / range32;
  }

  /** A whole number from 0 up to, not including, `limit`. */
  nextInteger(limit: number): number {
    return Math.floor(this.nextUnit() * limit);
  }

  /** One of `items`, each as likely as the next; undefined when there is none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.nextInteger(items.length)];
  }

  /** A waiting time of a Poisson process with the given mean. */
  nextExponential(mean: number): number {
    return -Math.log(1 - this.nextUnit()) * mean;
  }
}
