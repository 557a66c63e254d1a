/** Ages of proofs as peers tell them. */

/** An age without a proof is infinite, which JSON does not have. */
export function getFiniteAgeMs(ageMs: number): number {
  return Math.min(ageMs, Number.MAX_SAFE_INTEGER);
}
