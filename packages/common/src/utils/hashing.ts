/** Hashing that is alike on every instance, and rendezvous hashing over it (Thaler and Ravishankar, 1998). */
import * as crypto from "node:crypto";

/** 32-bit hash of a text: the first bytes of its SHA-256. Ready as soon as the module is, unlike hashes in WebAssembly. */
export function hash32(text: string): number {
  return crypto.createHash("sha256").update(text).digest().readUInt32BE(0);
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
