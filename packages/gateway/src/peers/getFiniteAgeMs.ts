/** Returns an age that JSON can represent. The age of a freshness that was never confirmed is infinite, and JSON has no infinity. */
export function getFiniteAgeMs(ageMs: number): number {
  return Math.min(ageMs, Number.MAX_SAFE_INTEGER);
}
