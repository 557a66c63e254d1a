/** A run of layers, `end` exclusive. */
export interface LayerInterval {
  readonly start: number;
  readonly end: number;
}

/** Whether each layer of `run` is in one of `others`. */
export function isCovered(run: LayerInterval, others: readonly LayerInterval[]): boolean {
  let layer = run.start;
  while (layer < run.end) {
    const at = layer;
    const holder = others.find((other) => other.start <= at && at < other.end);
    if (holder === undefined) return false;
    layer = holder.end;
  }
  return true;
}
