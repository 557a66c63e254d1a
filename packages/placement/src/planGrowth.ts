/** Plans how the neighbours of a gap grow over it, where a zone has no empty engine. */
import type { HeldSpan } from "./HeldSpan.js";
import { getMinTokensBeside, getTokensBeside, type CopyModel, type PlannedSpan } from "./planLayerCopies.js";

/**
 * Plans how the neighbours of a gap grow over it, where no engine of the zone holds its layers. Engines only take layers
 * on and give none up, so nothing that passes has to be waited for. Gives nothing where there is no gap or no room.
 */
export function planGrowth(held: readonly HeldSpan[], model: CopyModel): PlannedSpan[] {
  const gap = findGap(held, model.layerCount);
  if (gap === undefined) return [];
  const left = pickNeighbour(held.filter((span) => span.end === gap.start));
  const right = pickNeighbour(held.filter((span) => span.start === gap.end));
  let best: { tokens: number; spans: PlannedSpan[] } = { tokens: getMinTokensBeside(model), spans: [] };
  for (let middle = gap.start; middle <= gap.end; middle++) {
    // A side without a neighbour leaves its part of the gap open.
    if (left === undefined && middle > gap.start) continue;
    if (right === undefined && middle < gap.end) continue;
    const grown = [grow(left, left?.start, middle), grow(right, middle, right?.end)];
    const spans = grown.filter((span) => span !== undefined);
    const tokens = Math.min(
      ...spans.map((span) => getTokensBeside(span.engine, span.end - span.start, model)),
    );
    if (tokens <= best.tokens) continue;
    const changed = spans.filter((span) => !held.includes(span));
    best = { tokens, spans: changed.map(({ engine, start, end }) => ({ name: engine.name, start, end })) };
  }
  return best.spans;
}

/** The first run of layers that no engine holds; undefined if there is none, or if nothing is held at all. */
function findGap(held: readonly HeldSpan[], layerCount: number): { start: number; end: number } | undefined {
  if (held.length === 0) return undefined;
  const isHeld = (layer: number): boolean => held.some((span) => span.start <= layer && layer < span.end);
  let start = 0;
  while (start < layerCount && isHeld(start)) start++;
  if (start === layerCount) return undefined;
  let end = start;
  while (end < layerCount && !isHeld(end)) end++;
  return { start, end };
}

/** Of several neighbours the one with the most memory grows. */
function pickNeighbour(spans: readonly HeldSpan[]): HeldSpan | undefined {
  return [...spans].sort((a, b) => b.engine.memoryMb - a.engine.memoryMb)[0];
}

function grow(
  span: HeldSpan | undefined,
  start: number | undefined,
  end: number | undefined,
): HeldSpan | undefined {
  if (span === undefined || start === undefined || end === undefined) return undefined;
  return start === span.start && end === span.end ? span : { engine: span.engine, start, end };
}
