/** Random sampling without replacement. */

/** Returns `count` random items without repetition, or all items if there are fewer. `random` returns numbers from 0 to 1. */
export function sample<T>(items: readonly T[], count: number, random: () => number): T[] {
  const remaining = [...items];
  const sampled: T[] = [];
  while (sampled.length < count && remaining.length > 0) {
    sampled.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return sampled;
}
