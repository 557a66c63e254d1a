/** Makes a broken chain whole again: what is left of it, and an engine or two of its neighbours, share the layers anew. */
import {
  createGroup,
  findBetter,
  spreadLayers,
  type CopyEngine,
  type CopyGroup,
  type CopyModel,
  type PlannedSpan,
} from "./planLayerCopies.js";
import type { HeldSpan } from "./planRepair.js";

/** A chain that holds fewer usual requests than this after it was spread anew is left as it is. */
const minRequests = 8;
/** Engines that may change chains for one repair; each one more reloads a chain's worth of boundaries. */
const mostExchanges = 2;

/** Plans new spans for engines whose chains have a gap. Gives only those that change, and nothing where it can't help. */
export function planRespread(held: readonly HeldSpan[], model: CopyModel): PlannedSpan[] {
  const chains = findChains(held, model.layerCount);
  const inChains = new Set(chains.flat());
  const broken = held.filter((span) => !inChains.has(span));
  if (broken.length === 0) return [];
  let groups = [...chains, broken].map((spans) => createGroup(getEngines(spans), model));
  for (let exchange = 0; exchange < mostExchanges; exchange++) groups = findBetter(groups, model) ?? groups;
  const planned = groups.flatMap((group) => spreadInOrder(group, held, model));
  return planned.filter((span) => !held.some((other) => isSame(span, other)));
}

/** Whole chains, each span in one at most, followed from layer 0 over exactly meeting boundaries. */
export function findChains(held: readonly HeldSpan[], layerCount: number): HeldSpan[][] {
  const left = new Set(held);
  const chains: HeldSpan[][] = [];
  for (const first of held) {
    if (first.start !== 0 || !left.has(first)) continue;
    const chain = followChain(first, left, layerCount);
    if (chain === undefined) continue;
    chains.push(chain);
    for (const span of chain) left.delete(span);
  }
  return chains;
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

/** Keeps the engines in the order of the layers that they hold now, so that few layers are loaded. */
function spreadInOrder(group: CopyGroup, held: readonly HeldSpan[], model: CopyModel): PlannedSpan[] {
  if (group.requests < minRequests) return [];
  const getStart = (engine: CopyEngine): number =>
    held.find((span) => span.engine.name === engine.name)?.start ?? model.layerCount;
  const inOrder = [...group.engines].sort((a, b) => getStart(a) - getStart(b));
  return spreadLayers(inOrder, model) ?? [];
}

function getEngines(spans: readonly HeldSpan[]): CopyEngine[] {
  return spans.map((span) => span.engine);
}

function isSame(planned: PlannedSpan, held: HeldSpan): boolean {
  return planned.name === held.engine.name && planned.start === held.start && planned.end === held.end;
}
