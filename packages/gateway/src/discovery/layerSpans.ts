/** Comparison and description of the layers that an engine has loaded. */
import type { LayerSpan } from "./ListedEndpoint.js";

/** Returns whether two lists of layers are the same, in the same order. */
export function areSameLayers(a: readonly LayerSpan[], b: readonly LayerSpan[]): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

/** Returns the layers for log lines, each span as `START-END`. */
export function describeLayers(layers: readonly LayerSpan[]): string[] {
  return layers.map(describeSpan);
}

export function describeSpan({ start, end }: LayerSpan): string {
  return `${start}-${end}`;
}
