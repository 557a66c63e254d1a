/** Detours of a chain around the engines that it has lost. */
import { findCheapestChain, type ChainCandidate, type ChainDemand } from "../../chains/findCheapestChain.js";
import type { LayerSpan } from "../../discovery/ListedEndpoint.js";
import type { ChainStage } from "../../http/MessageCodec.js";

/** Maximum number of stages in the chain of one request. */
const maxChainStages = 32;

/** Inputs of {@link findDetour}. */
export interface DetourQuery {
  readonly stages: readonly ChainStage[];
  readonly isLost: (stage: ChainStage) => boolean;
  /** The engines of the chain's zone that may take over layers. */
  readonly candidates: readonly ChainCandidate[];
  readonly demand: ChainDemand;
}

/**
 * Returns the chain with other engines in the place of the lost ones, or undefined if the other engines don't have the layers or no free
 * capacity. All other stages remain, since their engines have read the tokens of the stream, and a new one reads them again.
 */
export function findDetour({
  stages,
  isLost,
  candidates,
  demand,
}: DetourQuery): readonly ChainStage[] | undefined {
  const detour = stages.filter((stage) => !isLost(stage));
  for (const gap of getGaps(stages, isLost)) {
    const used = new Set([...stages, ...detour].map((stage) => stage.endpointId));
    const unused = candidates.filter(({ endpoint }) => !used.has(endpoint.id));
    const bridge = findBridge(gap, unused, demand);
    if (bridge === undefined) return undefined;
    detour.push(...bridge);
  }
  if (detour.length > maxChainStages) return undefined;
  return detour.sort((a, b) => a.start - b.start);
}

/** Returns the contiguous spans of layers that the lost stages ran. */
function getGaps(stages: readonly ChainStage[], isLost: (stage: ChainStage) => boolean): LayerSpan[] {
  const gaps: LayerSpan[] = [];
  for (const { start, end } of stages.filter(isLost)) {
    const last = gaps.at(-1);
    if (last?.end === start) gaps[gaps.length - 1] = { start: last.start, end };
    else gaps.push({ start, end });
  }
  return gaps;
}

/** Returns the cheapest stages that run the layers of a gap. */
function findBridge(
  gap: LayerSpan,
  candidates: readonly ChainCandidate[],
  demand: ChainDemand,
): ChainStage[] | undefined {
  const inGap = candidates
    .filter(({ start, end }) => start < gap.end && end > gap.start)
    .map((candidate) => ({
      ...candidate,
      start: Math.max(0, candidate.start - gap.start),
      end: Math.min(gap.end, candidate.end) - gap.start,
    }));
  const bridge = findCheapestChain(inGap, gap.end - gap.start, demand, "one-zone");
  return bridge?.map((stage) => ({
    ...stage,
    start: stage.start + gap.start,
    end: stage.end + gap.start,
  }));
}
