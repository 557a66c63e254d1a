/** The single steps that change an arrangement of layers: an empty engine gets layers, an engine grows or shrinks, or boundaries shift. */
import type { BalancedSpan } from "./ZoneArrangement.js";
import type { CopyEngine, CopyModel } from "./planLayerCopies.js";

/** Default for the maximum number of layers by which one step shifts a boundary; larger shifts take several steps. */
const defaultMaxShift = 4;

/** The spans that a step replaces, with their indices. */
export type BalanceStep = readonly { readonly index: number; readonly span: BalancedSpan }[];

/**
 * Yields all possible steps: an empty or relocatable engine gets new layers, an engine grows or shrinks, or the boundaries between
 * neighbours shift.
 */
export function* getSteps(
  spans: readonly BalancedSpan[],
  model: CopyModel,
  maxShift = defaultMaxShift,
  relocatable: ReadonlySet<number> = new Set(),
): Generator<BalanceStep> {
  const emptyKinds = new Set<string>();
  for (const [index, span] of spans.entries()) {
    if (span.end > span.start) {
      yield* getResized(index, span, model, maxShift);
      yield* getShifted(index, spans, model, maxShift);
      if (relocatable.has(index)) yield* getPlaced(index, span, model);
      continue;
    }
    // Equal empty engines are interchangeable, so only the first of each kind is tried.
    const kind = `${span.engine.memoryMb}|${span.engine.stepFactor}`;
    if (!emptyKinds.has(kind)) yield* getPlaced(index, span, model);
    emptyKinds.add(kind);
  }
}

/** Yields the steps that assign an engine each range of layers that fits in its memory. */
function* getPlaced(index: number, span: BalancedSpan, model: CopyModel): Generator<BalanceStep> {
  const maxLayers = getMaxLayers(span.engine, model);
  for (let start = 0; start < model.layerCount; start++) {
    for (let end = start + 1; end <= Math.min(model.layerCount, start + maxLayers); end++) {
      yield [{ index, span: { ...span, start, end } }];
    }
  }
}

/** Yields the steps that move one end of a span, so that its engine gains or loses layers. */
function* getResized(
  index: number,
  span: BalancedSpan,
  model: CopyModel,
  maxShift: number,
): Generator<BalanceStep> {
  const { start, end } = span;
  for (let layers = 1; layers <= maxShift; layers++) {
    const resized = [
      { ...span, start: start - layers },
      { ...span, start: start + layers },
      { ...span, end: end - layers },
      { ...span, end: end + layers },
    ];
    for (const changed of resized) if (isPossible(changed, model)) yield [{ index, span: changed }];
  }
}

/**
 * Yields the steps that shift all boundaries between a span and a later span of its chain: the first and the last span exchange layers,
 * and the spans between them keep their number of layers.
 */
function* getShifted(
  index: number,
  spans: readonly BalancedSpan[],
  model: CopyModel,
  maxShift: number,
): Generator<BalanceStep> {
  const chain = followChain(index, spans);
  for (let length = 2; length <= chain.length; length++) {
    const segment = chain.slice(0, length);
    for (let layers = -maxShift; layers <= maxShift; layers++) {
      if (layers === 0) continue;
      const step = shiftBoundaries(segment, spans, layers);
      if (step.every(({ span }) => isPossible(span, model))) yield step;
    }
  }
}

/** Returns the indices of consecutive spans from `first` on; of several spans that start at a boundary, the first continues the chain. */
function followChain(first: number, spans: readonly BalancedSpan[]): number[] {
  const chain = [first];
  for (let current: number | undefined = first; current !== undefined;) {
    const end = spans[current]?.end ?? 0;
    const next = spans.findIndex((span) => span.start === end && span.end > span.start);
    current = next < 0 ? undefined : next;
    if (current !== undefined) chain.push(current);
  }
  return chain;
}

function shiftBoundaries(
  chain: readonly number[],
  spans: readonly BalancedSpan[],
  layers: number,
): BalanceStep {
  return chain.flatMap((index, position) => {
    const span = spans[index];
    if (span === undefined) return [];
    const start = position === 0 ? span.start : span.start + layers;
    const end = position === chain.length - 1 ? span.end : span.end + layers;
    return [{ index, span: { ...span, start, end } }];
  });
}

function isPossible(span: BalancedSpan, model: CopyModel): boolean {
  const layers = span.end - span.start;
  return (
    span.start >= 0 &&
    span.end <= model.layerCount &&
    layers >= 0 &&
    layers <= getMaxLayers(span.engine, model)
  );
}

/** Returns the number of layers that fit in an engine's memory. */
function getMaxLayers(engine: CopyEngine, model: CopyModel): number {
  return Math.min(model.layerCount, Math.floor(engine.memoryMb / model.layerMb));
}
