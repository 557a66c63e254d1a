/** Hashing that is alike on every instance, and rendezvous hashing over it (Thaler and Ravishankar, 1998). */
import createXxhash from "xxhash-wasm";

const hasher = await createXxhash();

/** 32-bit hash of a text (xxHash). */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** Picks the one of `candidates` that owns `key`. Every instance with the same candidates picks the same one. */
export function pickOwner(key: string, candidates: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const candidate of candidates) {
    const weight = hash32(`${key}\u0000${candidate}`);
    if (weight > bestWeight || (weight === bestWeight && candidate < (best ?? ""))) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best;
}
