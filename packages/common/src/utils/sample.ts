/** Picks by chance. */

/** Gives `count` different items, or all where there are fewer; `random` gives numbers from 0 to 1. */
export function sample<T>(items: readonly T[], count: number, random: () => number): T[] {
  const left = [...items];
  const picked: T[] = [];
  while (picked.length < count && left.length > 0) {
    picked.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return picked;
}
