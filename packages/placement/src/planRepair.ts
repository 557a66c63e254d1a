/** Decides which layers empty engines take where a zone already holds some: gaps first, then what is scarcest. */
import {
  getLayersBeside,
  getTokensBeside,
  type CopyEngine,
  type CopyModel,
  type PlannedSpan,
} from "./planLayerCopies.js";

/** An engine and the layers that it holds or is loading. */
export interface HeldSpan {
  readonly engine: CopyEngine;
  readonly start: number;
  readonly end: number;
}

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
  const most = getLayersBeside(engine, minTokensBeside(model), model);
  if (most <= 0) return undefined;
  return { start, end: Math.min(end, start + most) };
}

/** A stage that holds fewer requests than this beside its layers would be the bottleneck of every chain through it. */
const requestsBesideRepair = 16;

function minTokensBeside(model: CopyModel): number {
  return requestsBesideRepair * model.tokensPerRequest;
}

/**
 * Plans how the neighbours of a gap grow over it, where no engine of the zone holds its layers. Engines only take layers
 * on and give none up, so nothing that passes has to be waited for. Gives nothing where there is no gap or no room.
 */
export function planGrowth(held: readonly HeldSpan[], model: CopyModel): PlannedSpan[] {
  const gap = findGap(held, model.layerCount);
  if (gap === undefined) return [];
  const left = pickNeighbour(held.filter((span) => span.end === gap.start));
  const right = pickNeighbour(held.filter((span) => span.start === gap.end));
  let best: { tokens: number; spans: PlannedSpan[] } = { tokens: minTokensBeside(model), spans: [] };
  for (let middle = gap.start; middle <= gap.end; middle++) {
    const grown = [grow(left, left?.start, middle), grow(right, middle, right?.end)];
    const spans = grown.filter((span) => span !== undefined);
    const covered =
      (left === undefined ? gap.start : middle) - gap.start + (right === undefined ? 0 : gap.end - middle);
    if (covered < gap.end - gap.start) continue;
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
