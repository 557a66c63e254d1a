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
  readonly isRandomized?: boolean | undefined;
  /**
   * For a request that may have crashed an engine: whether it begins only, or rather, where another engine of the zone holds the first
   * layers, too. A zone that loses its last first engine serves nobody until another one has loaded them.
   */
  readonly redundantFirstEngine?: "rather" | "only" | undefined;
  /** Addresses of engines that have refused this request: what hindered them is seldom gone within milliseconds. */
  readonly refusedBy?: ReadonlySet<string> | undefined;
}

/**
 * Cost of a chain that goes on in another zone, in ms: the activations of a prompt (50 MB on the deployments at hand) take the
 * pipe that all share for 15 ms, and a pipe that is full slows every chain across it. Measured on a day of three zones with losses: at
 * this cost 45 GB passed between the zones instead of 233, and 0.67 of the worth was earned instead of 0.39.
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
  readonly freeLayersCrossZone: number;
  /** Whether another request may begin here: an engine has slots, and may name a limit, for those that it gets as the first of their chain. */
  readonly canBeFirst: boolean;
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
export function findCheapestChain(
  candidates: readonly ChainCandidate[],
  layerCount: number,
  demand: ChainDemand,
  reach: ChainReach,
): ChainStage[] | undefined {
  return new ChainSearch(candidates, layerCount, demand, reach).run();
}

/** One search for the cheapest chain. */
class ChainSearch {
  /** Those with room for at least one layer. */
  private readonly _candidates: readonly ChainCandidate[];
  private readonly _boundaries: readonly number[];
  private readonly _labels: Labels;

  constructor(
    candidates: readonly ChainCandidate[],
    private readonly _layerCount: number,
    private readonly _demand: ChainDemand,
    private readonly _reach: ChainReach,
  ) {
    this._candidates = candidates.filter((candidate) => this._getFreeLayers(candidate) > 0);
    this._boundaries = getBoundaries(this._candidates, _layerCount, _demand.firstEnd);
    const start = { costMs: 0, candidate: undefined, boundary: 0, previous: undefined, stages: 0 };
    this._labels = new Map([[0, new Map([["", start]])]]);
  }

  run(): ChainStage[] | undefined {
    for (const from of this._boundaries) this._extendFrom(from);
    const best = pickCheapest(this._labels.get(this._layerCount)?.values() ?? []);
    return best === undefined ? undefined : toStages(best);
  }

  private _extendFrom(from: number): void {
    const labels = this._labels.get(from);
    if (labels === undefined) return;
    const holders = this._candidates.filter(({ start, end }) => start <= from && from < end);
    for (const label of labels.values()) {
      for (const candidate of holders) if (this._mayFollow(label, candidate)) this._extend(label, candidate);
    }
  }

  /** Whether an engine that holds the next layer may come next in the chain. */
  private _mayFollow(label: Label, candidate: ChainCandidate): boolean {
    if (label.stages >= mostStages) return false;
    const { firstEndpointId } = this._demand;
    const isFirst = label.candidate === undefined;
    if (isFirst && firstEndpointId !== undefined && candidate.endpoint.id !== firstEndpointId) return false;
    // A request that is moved has its slot at its first engine already.
    if (isFirst && firstEndpointId === undefined && !candidate.canBeFirst) return false;
    if (this._reach === "one-zone" && !isFirst && changesZone(label, candidate)) return false;
    return !isUsed(label, candidate);
  }

  /** Labels each boundary that the engine reaches from a label, where no cheaper way there is known. */
  private _extend(label: Label, candidate: ChainCandidate): void {
    const from = label.boundary;
    const zone = candidate.endpoint.listed.availabilityZone;
    const freeLayers = this._getFreeLayers(candidate);
    const entryMs = hopMs * this._demand.answerTokens + this._getZoneMs(label, candidate);
    const { firstEnd } = this._demand;
    const last = Math.min(candidate.end, from + freeLayers);
    for (const to of this._boundaries) {
      if (to <= from) continue;
      if (to > last) break;
      if (from === 0 && firstEnd !== undefined && to !== firstEnd) continue;
      const costMs = label.costMs + entryMs + (to - from) * candidate.msPerLayer;
      const known = this._labels.get(to) ?? new Map<string, Label>();
      this._labels.set(to, known);
      if ((known.get(zone)?.costMs ?? Number.POSITIVE_INFINITY) <= costMs) continue;
      known.set(zone, { costMs, candidate, boundary: to, previous: label, stages: label.stages + 1 });
    }
  }

  private _getFreeLayers(candidate: ChainCandidate): number {
    return this._reach === "one-zone" ? candidate.freeLayers : candidate.freeLayersCrossZone;
  }

  private _getZoneMs(label: Label, candidate: ChainCandidate): number {
    if (label.candidate !== undefined) return changesZone(label, candidate) ? zoneChangeMs : 0;
    return candidate.endpoint.listed.availabilityZone === this._demand.availabilityZone ? 0 : otherZoneMs;
  }
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

/** Whether an engine lies in another zone than the last one of a chain. */
function changesZone(label: Label, candidate: ChainCandidate): boolean {
  const last = label.candidate?.endpoint.listed.availabilityZone;
  return last !== undefined && last !== candidate.endpoint.listed.availabilityZone;
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
