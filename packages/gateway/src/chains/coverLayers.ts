/** Finds the cheapest chain of engines that runs all layers once and in order. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import { hopMs } from "./engineModel.js";

/** What a request needs of a chain. */
export interface ChainDemand {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly availabilityZone: string;
  /** The chain must begin at this engine, where it is given. */
  readonly firstEndpointId?: string | undefined;
  /** Where the first engine's part must end, where it is given. */
  readonly firstEnd?: number | undefined;
  /**
   * Whether the choice is spread by chance over engines of like cost. For streams that many instances move at the same
   * moment: each knows the others' load only as it was before.
   */
  readonly isSpread?: boolean | undefined;
}

/**
 * Cost of a chain that goes on in another zone, in ms: the activations of a prompt (50 MB on the deployments at hand) take the
 * pipe that all share for 15 ms, and a pipe that is full slows every chain across it. Measured: bench/RESULTS.md, round 7.
 */
const zoneChangeMs = 20_000;
/** Cost of a chain that lies in another zone from its beginning, in ms: only text passes between the zones. */
const otherZoneMs = 200;
/** A part of a chain, at most this many: the wire's bound is 32; longer chains than this lose more by hops. */
const mostStages = 24;

/** An engine with room, and the layers that it holds. */
export interface ChainCandidate {
  readonly endpoint: Endpoint;
  readonly start: number;
  readonly end: number;
  /** Cost of one layer for the whole request. */
  readonly msPerLayer: number;
  /** Layers that the request's tokens still fit into. */
  readonly freeLayers: number;
  /** The same for a chain that changes zones on its way. */
  readonly freeLayersAcross: number;
}

/** Whether a chain may change zones on its way. */
export type ChainReach = "one-zone" | "several-zones";

/** The cheapest way known to run the layers up to a boundary. */
interface Label {
  readonly costMs: number;
  readonly candidate: ChainCandidate | undefined;
  readonly boundary: number;
  readonly previous: Label | undefined;
  readonly stages: number;
}

/** The best label for each boundary and zone of the last engine. */
type Labels = Map<number, Map<string, Label>>;

/** Gives the cheapest chain that runs all layers, boundary by boundary (dynamic programming); undefined if there is none. */
export function coverLayers(
  candidates: readonly ChainCandidate[],
  layerCount: number,
  demand: ChainDemand,
  reach: ChainReach,
): ChainStage[] | undefined {
  const labels = labelBoundaries(candidates, layerCount, demand, reach);
  const best = pickCheapest(labels.get(layerCount)?.values() ?? []);
  return best === undefined ? undefined : toStages(best);
}

function labelBoundaries(
  candidates: readonly ChainCandidate[],
  layerCount: number,
  demand: ChainDemand,
  reach: ChainReach,
): Labels {
  const boundaries = getBoundaries(candidates, layerCount, demand.firstEnd);
  const labels: Labels = new Map([
    [0, new Map([["", { costMs: 0, candidate: undefined, boundary: 0, previous: undefined, stages: 0 }]])],
  ]);
  for (const from of boundaries) {
    for (const label of labels.get(from)?.values() ?? []) {
      for (const candidate of candidates) extend(labels, label, candidate, boundaries, demand, reach);
    }
  }
  return labels;
}

function getBoundaries(
  candidates: readonly ChainCandidate[],
  layerCount: number,
  firstEnd: number | undefined,
): number[] {
  const boundaries = new Set([0, layerCount]);
  for (const { start, end } of candidates) boundaries.add(start).add(end);
  if (firstEnd !== undefined) boundaries.add(firstEnd);
  return [...boundaries].sort((a, b) => a - b);
}

function extend(
  labels: Labels,
  label: Label,
  candidate: ChainCandidate,
  boundaries: readonly number[],
  demand: ChainDemand,
  reach: ChainReach,
): void {
  const from = label.boundary;
  if (from < candidate.start || from >= candidate.end || label.stages >= mostStages) return;
  if (from === 0 && demand.firstEndpointId !== undefined && candidate.endpoint.id !== demand.firstEndpointId)
    return;
  if (isUsed(label, candidate)) return;
  const zone = candidate.endpoint.listed.availabilityZone;
  if (reach === "one-zone" && label.candidate !== undefined && !isInZone(label.candidate, zone)) return;
  const freeLayers = reach === "one-zone" ? candidate.freeLayers : candidate.freeLayersAcross;
  const entryMs = hopMs * demand.answerTokens + getZoneMs(zone, label, demand);
  for (const to of boundaries) {
    if (from === 0 && demand.firstEnd !== undefined && to !== demand.firstEnd) continue;
    if (to <= from || to > candidate.end || to - from > freeLayers) continue;
    const costMs = label.costMs + entryMs + (to - from) * candidate.msPerLayer;
    const known = labels.get(to) ?? new Map<string, Label>();
    labels.set(to, known);
    if ((known.get(zone)?.costMs ?? Number.POSITIVE_INFINITY) <= costMs) continue;
    known.set(zone, { costMs, candidate, boundary: to, previous: label, stages: label.stages + 1 });
  }
}

function getZoneMs(zone: string, label: Label, demand: ChainDemand): number {
  if (label.candidate === undefined) return zone === demand.availabilityZone ? 0 : otherZoneMs;
  return isInZone(label.candidate, zone) ? 0 : zoneChangeMs;
}

function isInZone(candidate: ChainCandidate, zone: string): boolean {
  return candidate.endpoint.listed.availabilityZone === zone;
}

function isUsed(label: Label, candidate: ChainCandidate): boolean {
  for (let step: Label | undefined = label; step !== undefined; step = step.previous) {
    if (step.candidate?.endpoint === candidate.endpoint) return true;
  }
  return false;
}

function pickCheapest(labels: Iterable<Label>): Label | undefined {
  let best: Label | undefined;
  for (const label of labels) if (best === undefined || label.costMs < best.costMs) best = label;
  return best;
}

function toStages(last: Label): ChainStage[] {
  const stages: ChainStage[] = [];
  for (let label: Label | undefined = last; label?.candidate !== undefined; label = label.previous) {
    const { listed } = label.candidate.endpoint;
    stages.push({
      endpointId: listed.id,
      address: listed.address,
      start: label.previous?.boundary ?? 0,
      end: label.boundary,
    });
  }
  return stages.reverse();
}
