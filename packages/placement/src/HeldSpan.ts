/** Layers that are taken already. */
import type { CopyEngine } from "./planLayerCopies.js";

/** An engine and the layers that it holds or is loading. */
export interface HeldSpan {
  readonly engine: CopyEngine;
  readonly start: number;
  readonly end: number;
}
