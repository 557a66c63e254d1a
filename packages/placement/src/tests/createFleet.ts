/** Engines of several kinds, for the tests of placement. */
import type { CopyEngine } from "../planLayerCopies.js";

/** The properties that all engines of a kind have in common. */
export type EngineKind = Pick<CopyEngine, "memoryMb" | "stepFactor">;

/** Creates the number of engines in `counts` for each kind, named by kind and number. */
export function createFleet(kinds: readonly EngineKind[], counts: readonly number[]): CopyEngine[] {
  return kinds.flatMap((kind, index) =>
    Array.from({ length: counts[index] ?? 0 }, (_, number) => ({ name: `${index}-${number}`, ...kind })),
  );
}
