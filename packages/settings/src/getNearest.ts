/** Suggestions for mistyped names. */

/** Returns the edit distance (Levenshtein, 1966) between two short texts. */
export function getEditDistance(a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i++) {
    const current = [i];
    for (let j = 1; j <= b.length; j++) {
      const substitution = (previous[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      current.push(Math.min((previous[j] ?? 0) + 1, (current[j - 1] ?? 0) + 1, substitution));
    }
    previous = current;
  }
  return previous[b.length] ?? 0;
}

/** Returns the known name closest to `name`; undefined if none is similar. */
export function getNearest(name: string, known: readonly string[]): string | undefined {
  const lower = name.toLowerCase();
  const ranked = known
    .map((candidate) => ({ candidate, distance: getEditDistance(lower, candidate.toLowerCase()) }))
    .sort((a, b) => a.distance - b.distance);
  const best = ranked[0];
  if (best === undefined || best.distance > Math.max(2, name.length / 2)) return undefined;
  return best.candidate;
}
