/** Seeded random numbers for reproducible runs. */
import prand from "pure-rand";

const range32 = 4294967296;

const skippedNumbers = 16;

/** Generates reproducible random numbers from a seed (xoroshiro128+). */
export class RandomSource {
  private readonly _generator: prand.RandomGenerator;

  constructor(seed: number) {
    this._generator = prand.xoroshiro128plus(seed);
    // With a small seed, the first numbers are close to the ends of the range.
    for (let skipped = 0; skipped < skippedNumbers; skipped++) this._generator.unsafeNext();
  }

  /** Returns a number from 0 up to, but not including, 1. */
  nextUnit(): number {
    return (this._generator.unsafeNext() >>> 0) / range32;
  }

  /** Returns an integer from 0 up to, but not including, `limit`. */
  nextInteger(limit: number): number {
    return Math.floor(this.nextUnit() * limit);
  }

  /** Returns one of `items` with equal probability; undefined if there are none. */
  pick<T>(items: readonly T[]): T | undefined {
    return items[this.nextInteger(items.length)];
  }

  /** Returns an exponentially distributed number with the given mean, such as the time between events of a Poisson process. */
  nextExponential(mean: number): number {
    return -Math.log(1 - this.nextUnit()) * mean;
  }
}
