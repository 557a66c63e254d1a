/** An interval of layers, `end` exclusive. */
export interface LayerInterval {
  readonly start: number;
  readonly end: number;
}

/** Returns whether every layer of `interval` is in at least one of `others`. */
export function isCovered(interval: LayerInterval, others: readonly LayerInterval[]): boolean {
  let layer = interval.start;
  while (layer < interval.end) {
    const at = layer;
    const covering = others.find((other) => other.start <= at && at < other.end);
    if (covering === undefined) return false;
    layer = covering.end;
  }
  return true;
}
