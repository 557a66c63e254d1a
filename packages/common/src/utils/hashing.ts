/** A hash that is equal on all instances, and rendezvous hashing based on it (Thaler and Ravishankar, 1998). */
import * as crypto from "node:crypto";

/** Returns a 32-bit hash of a text: the first bytes of its SHA-256. Needs no asynchronous initialization, unlike WebAssembly hashes. */
export function hash32(text: string): number {
  return crypto.createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** Returns the candidate that owns `key` by rendezvous hashing. Instances with the same candidates select the same owner. */
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
