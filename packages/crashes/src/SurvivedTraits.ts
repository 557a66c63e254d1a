import { utils } from "@shedtiller/common";
import { isPartTrait, type RequestTraits } from "./requestTraits.js";

/** Enough for the parts of a minute's requests of one instance. */
const maxParts = 4_096;

/** Stores when a run with each part of a prompt last survived its initial phase at this instance. */
export class SurvivedTraits {
  private readonly _atMs = new utils.BoundedMap<number>(maxParts);

  add(traits: RequestTraits, atMs: number): void {
    for (const trait of traits.filter(isPartTrait))
      this._atMs.set(trait, Math.max(atMs, this._atMs.get(trait) ?? Number.NEGATIVE_INFINITY));
  }

  /** Returns the latest monotonic time at which a run with the trait had survived its initial phase. */
  get(trait: string): number | undefined {
    return this._atMs.get(trait);
  }
}
