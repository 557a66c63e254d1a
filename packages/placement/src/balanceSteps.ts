/** The single steps that change an arrangement of layers: an engine begins, grows or shrinks, or boundaries shift. */
import type { BalancedSpan } from "./ZoneArrangement.js";
import type { CopyEngine, CopyModel } from "./planLayerCopies.js";

/** A boundary is shifted by at most this many layers in one step, where nothing else is said; many steps make a large shift. */
const usualLongestShift = 4;

/** Spans, by index, that one step replaces. */
export type BalanceStep = readonly { readonly index: number; readonly span: BalancedSpan }[];

/** All steps from here: an empty engine takes layers, an engine grows or shrinks, a boundary between neighbours shifts. */
export function* getSteps(
  spans: readonly BalancedSpan[],
  model: CopyModel,
  longestShift = usualLongestShift,
  relocatable: ReadonlySet<number> = new Set(),
): Generator<BalanceStep> {
  const emptyKinds = new Set<string>();
  for (const [index, span] of spans.entries()) {
    if (span.end > span.start) {
      yield* getResized(index, span, model, longestShift);
      yield* getShifted(index, spans, model, longestShift);
      if (relocatable.has(index)) yield* getFirstSpans(index, span, model);
      continue;
    }
    // Of empty engines that are alike one is enough.
    const kind = `${span.engine.memoryMb}|${span.engine.stepFactor}`;
    if (!emptyKinds.has(kind)) yield* getFirstSpans(index, span, model);
    emptyKinds.add(kind);
  }
}

function* getFirstSpans(index: number, span: BalancedSpan, model: CopyModel): Generator<BalanceStep> {
  const most = getMostLayers(span.engine, model);
  for (let start = 0; start < model.layerCount; start++) {
    for (let end = start + 1; end <= Math.min(model.layerCount, start + most); end++) {
      yield [{ index, span: { ...span, start, end } }];
    }
  }
}

function* getResized(
  index: number,
  span: BalancedSpan,
  model: CopyModel,
  longestShift: number,
): Generator<BalanceStep> {
  const { start, end } = span;
  for (let layers = 1; layers <= longestShift; layers++) {
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
 * Shifts all boundaries from the end of a span to the start of one further down its chain: the two ends trade layers, and those
 * between them keep as many as they had.
 */
function* getShifted(
  index: number,
  spans: readonly BalancedSpan[],
  model: CopyModel,
  longestShift: number,
): Generator<BalanceStep> {
  const chain = followChain(index, spans);
  for (let length = 2; length <= chain.length; length++) {
    const part = chain.slice(0, length);
    for (let layers = -longestShift; layers <= longestShift; layers++) {
      if (layers === 0) continue;
      const step = shiftBoundaries(part, spans, layers);
      if (step.every(({ span }) => isPossible(span, model))) yield step;
    }
  }
}

/** The spans that follow each other from one on, by index; where several go on at a boundary, the first of them. */
function followChain(first: number, spans: readonly BalancedSpan[]): number[] {
  const chain = [first];
  for (let at: number | undefined = first; at !== undefined;) {
    const end = spans[at]?.end ?? 0;
    const next = spans.findIndex((span) => span.start === end && span.end > span.start);
    at = next < 0 ? undefined : next;
    if (at !== undefined) chain.push(at);
  }
  return chain;
}

function shiftBoundaries(
  chain: readonly number[],
  spans: readonly BalancedSpan[],
  layers: number,
): BalanceStep {
  return chain.flatMap((index, at) => {
    const span = spans[index];
    if (span === undefined) return [];
    const start = at === 0 ? span.start : span.start + layers;
    const end = at === chain.length - 1 ? span.end : span.end + layers;
    return [{ index, span: { ...span, start, end } }];
  });
}

function isPossible(span: BalancedSpan, model: CopyModel): boolean {
  const layers = span.end - span.start;
  return (
    span.start >= 0 &&
    span.end <= model.layerCount &&
    layers >= 0 &&
    layers <= getMostLayers(span.engine, model)
  );
}

/** Layers that an engine's memory holds. */
function getMostLayers(engine: CopyEngine, model: CopyModel): number {
  return Math.min(model.layerCount, Math.floor(engine.memoryMb / model.layerMb));
}
