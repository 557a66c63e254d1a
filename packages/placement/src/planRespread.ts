/** Makes a broken chain whole again: the engines that are left of it share its layers anew. */
import { utils } from "@shedtiller/common";
import { getTokensBeside, spreadLayers, type CopyModel, type PlannedSpan } from "./planLayerCopies.js";
import type { HeldSpan } from "./planRepair.js";

/** A chain that holds fewer usual requests than this after it was spread anew is left as it is. */
const minRequests = 8;

/** Plans new spans for engines whose chains have a gap. Gives only those that change, and nothing where it can't help. */
export function planRespread(held: readonly HeldSpan[], model: CopyModel): PlannedSpan[] {
  const broken = findBrokenParts(held, model.layerCount);
  if (broken.length === 0) return [];
  const inOrder = [...broken].sort((a, b) => a.start - b.start || a.end - b.end);
  const engines = inOrder.map((span) => span.engine);
  const planned = spreadLayers(engines, model);
  if (planned === undefined || getRoom(planned, inOrder, model) < minRequests) return [];
  return planned.filter((span) => {
    const before = inOrder.find((other) => other.engine.name === span.name);
    return before === undefined || before.start !== span.start || before.end !== span.end;
  });
}

/** Spans that are part of no whole chain. Chains are followed from layer 0 over exactly meeting boundaries. */
export function findBrokenParts(held: readonly HeldSpan[], layerCount: number): HeldSpan[] {
  const left = new Set(held);
  for (const first of held) {
    if (first.start !== 0 || !left.has(first)) continue;
    const chain = followChain(first, left, layerCount);
    if (chain !== undefined) for (const span of chain) left.delete(span);
  }
  return [...left];
}

/** A whole chain from `first` on, or undefined. Depth first: a boundary may have several spans behind it. */
function followChain(
  first: HeldSpan,
  left: ReadonlySet<HeldSpan>,
  layerCount: number,
): HeldSpan[] | undefined {
  if (first.end === layerCount) return [first];
  for (const next of left) {
    if (next.start !== first.end || next === first) continue;
    const rest = followChain(next, left, layerCount);
    if (rest !== undefined) return [first, ...rest];
  }
  return undefined;
}

function getRoom(planned: readonly PlannedSpan[], held: readonly HeldSpan[], model: CopyModel): number {
  const engines = new Map(held.map((span) => [span.engine.name, span.engine]));
  const tokens = planned.flatMap((span) => {
    const engine = engines.get(span.name);
    return engine === undefined ? [] : [getTokensBeside(engine, span.end - span.start, model)];
  });
  const isPartial = utils.getSum(planned.map((span) => span.end - span.start)) < model.layerCount;
  return isPartial ? 0 : Math.min(...tokens) / model.tokensPerRequest;
}
