/** Engines of several kinds, for the tests of placement. */
import type { CopyEngine } from "../planLayerCopies.js";

/** What engines of one kind share. */
export type EngineKind = Pick<CopyEngine, "memoryMb" | "stepFactor">;

/** Creates as many engines of each kind as `counts` says, named by kind and number. */
export function createFleet(kinds: readonly EngineKind[], counts: readonly number[]): CopyEngine[] {
  return kinds.flatMap((kind, index) =>
    Array.from({ length: counts[index] ?? 0 }, (_, number) => ({ name: `${index}-${number}`, ...kind })),
  );
}
