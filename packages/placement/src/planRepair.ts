/** Decides which layers empty engines take where a zone already holds some: gaps first, then what is scarcest. */
import type { HeldSpan } from "./HeldSpan.js";
import {
  getLayersBeside,
  getMinTokensBeside,
  getTokensBeside,
  type CopyEngine,
  type CopyModel,
  type PlannedSpan,
} from "./planLayerCopies.js";

/** Plans spans for `empty` engines, one after the other, each knowing what the ones before it take. */
export function planRepair(
  empty: readonly CopyEngine[],
  held: readonly HeldSpan[],
  model: CopyModel,
): PlannedSpan[] {
  const spans = [...held];
  const planned: PlannedSpan[] = [];
  const largestFirst = [...empty].sort((a, b) => b.memoryMb - a.memoryMb || (a.name < b.name ? -1 : 1));
  for (const engine of largestFirst) {
    const span = pickSpan(engine, getTokensByLayer(spans, model), model);
    if (span === undefined) continue;
    planned.push({ name: engine.name, ...span });
    spans.push({ engine, ...span });
  }
  return planned;
}

/** Tokens that fit at each layer over all engines that hold it. */
function getTokensByLayer(spans: readonly HeldSpan[], model: CopyModel): number[] {
  const tokens = new Array<number>(model.layerCount).fill(0);
  for (const span of spans) {
    const added = getTokensBeside(span.engine, span.end - span.start, model);
    for (let layer = span.start; layer < span.end; layer++) tokens[layer] = (tokens[layer] ?? 0) + added;
  }
  return tokens;
}

/** The scarcest run of layers, whole if the engine can hold it with room for requests, else its first part. */
function pickSpan(
  engine: CopyEngine,
  tokensByLayer: readonly number[],
  model: CopyModel,
): { start: number; end: number } | undefined {
  const least = Math.min(...tokensByLayer);
  const start = tokensByLayer.indexOf(least);
  let end = start;
  while (end < model.layerCount && tokensByLayer[end] === least) end++;
  const most = getLayersBeside(engine, getMinTokensBeside(model), model);
  if (most <= 0) return undefined;
  return { start, end: Math.min(end, start + most) };
}
