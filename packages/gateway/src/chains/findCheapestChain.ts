/** Search for the cheapest chain of engines that runs each layer once and in order. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import type { AssumedRestarts } from "./ConcurrentRestarts.js";
import { hopMs } from "./engineModel.js";
import { getUsualEntryMs, type EntryCost } from "./EntryCosts.js";

/** Requirements of a request for its chain. */
export interface ChainDemand {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly availabilityZone: string;
  /** Target latency of the first event; undefined for a stream that has begun. */
  readonly targetLatencyMs?: number | undefined;
  /** Id of the engine that must be the first of the chain, if set. */
  readonly firstEndpointId?: string | undefined;
  /** The layer at which the first stage must end, if set. */
  readonly firstEnd?: number | undefined;
  /**
   * Whether costs are randomized, which distributes requests over engines of similar cost. Used for streams that many instances move at
   * the same time, since each instance has received only the earlier load of the others.
   */
  readonly isRandomized?: boolean | undefined;
  /** What other instances are assumed to place at the same moment, which the known loads do not contain. */
  readonly assumedRestarts?: AssumedRestarts | undefined;
  /**
   * Whether the first engine must be redundant, or is preferably so: another engine of its zone has the first layers, too. Set for a
   * request that may have crashed an engine. A zone that loses its last engine with the first layers serves no requests until another
   * one has loaded them.
   */
  readonly redundantFirstEngine?: "preferred" | "required" | undefined;
  /** Whether the request may test engines in doubt, since it can be repeated elsewhere and has crashed none. */
  readonly mayProbe?: boolean | undefined;
  /** Addresses of engines that rejected this request; the cause of a rejection rarely ends within milliseconds. */
  readonly refusedBy?: ReadonlySet<string> | undefined;
}

/**
 * Cost of each change of zones within a chain. The activations of a prompt (50 MB on the current deployments) occupy the shared link
 * between the zones for 15 ms, and a saturated link slows every chain across it. In a recorded scenario with three zones and losses of
 * engines, this cost reduces the transfer between the zones from 233 to 45 GB, and the deployment earns 0.67 of the possible value
 * instead of 0.39.
 */
const zoneChangeMs = 20_000;
/** Maximum number of stages. The wire format allows 32, but a chain of more than 24 stages loses more time to hops than it gains. */
const maxStages = 24;

/** An engine with a range of its loaded layers, its cost and its free capacity. */
export interface ChainCandidate {
  readonly endpoint: Endpoint;
  readonly start: number;
  readonly end: number;
  /** Cost of one layer for the whole request. */
  readonly msPerLayer: number;
  /** Cost of the prompts in front at the engine. A chain has it for the engine with the highest one, which delays all others. */
  readonly queueMs: number;
  /** Cost of an engine in doubt, which ranks it behind all others; 0 if omitted. */
  readonly doubtMs?: number;
  /** Number of layers for which the tokens of the request still fit into memory. */
  readonly freeLayers: number;
  /** Number of these layers that a cross-zone chain may use. */
  readonly freeLayersCrossZone: number;
  /** Whether the engine can be the first of a chain; its slots and its rate limit apply to the requests that begin there. */
  readonly canBeFirst: boolean;
}

/** Whether all stages of a chain must be in one zone. */
export type ChainReach = "one-zone" | "several-zones";

/** The cheapest known partial chain that runs the layers up to a boundary. */
interface Label {
  readonly costMs: number;
  /** The highest cost of the prompts in front at an engine; it is a part of `costMs`. */
  readonly queueMs: number;
  readonly candidate: ChainCandidate | undefined;
  readonly boundary: number;
  readonly previous: Label | undefined;
  readonly stages: number;
}

/** The best label by boundary and by the zone of the last engine. */
type Labels = Map<number, Map<string, Label>>;

/**
 * Returns the cheapest chain that runs all layers, or undefined if there is none. Uses dynamic programming over the layer boundaries.
 * @param getEntryMs - The cost of the first engine; if omitted, only other zones than that of the request have one.
 */
export function findCheapestChain(
  candidates: readonly ChainCandidate[],
  layerCount: number,
  demand: ChainDemand,
  reach: ChainReach,
  getEntryMs: EntryCost = (engine) => getUsualEntryMs(engine, demand.availabilityZone),
): ChainStage[] | undefined {
  return new ChainSearch(candidates, layerCount, demand, reach, getEntryMs).run();
}

/** Runs one search for the cheapest chain. */
class ChainSearch {
  /** Candidates with free capacity for at least one layer. */
  private readonly _candidates: readonly ChainCandidate[];
  private readonly _boundaries: readonly number[];
  private readonly _labels: Labels;

  constructor(
    candidates: readonly ChainCandidate[],
    private readonly _layerCount: number,
    private readonly _demand: ChainDemand,
    private readonly _reach: ChainReach,
    private readonly _getEntryMs: EntryCost,
  ) {
    this._candidates = candidates.filter((candidate) => this._getFreeLayers(candidate) > 0);
    this._boundaries = getBoundaries(this._candidates, _layerCount, _demand.firstEnd);
    const start = {
      costMs: 0,
      queueMs: 0,
      candidate: undefined,
      boundary: 0,
      previous: undefined,
      stages: 0,
    };
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
    const nextCandidates = this._candidates.filter(({ start, end }) => start <= from && from < end);
    for (const label of labels.values()) {
      for (const candidate of nextCandidates)
        if (this._mayFollow(label, candidate)) this._extend(label, candidate);
    }
  }

  /** Returns whether an engine that has loaded the next layer may be the next stage of the chain. */
  private _mayFollow(label: Label, candidate: ChainCandidate): boolean {
    if (label.stages >= maxStages) return false;
    const { firstEndpointId } = this._demand;
    const isFirst = label.candidate === undefined;
    if (isFirst && firstEndpointId !== undefined && candidate.endpoint.id !== firstEndpointId) return false;
    // A moved request already has a slot at its first engine.
    if (isFirst && firstEndpointId === undefined && !candidate.canBeFirst) return false;
    if (this._reach === "one-zone" && !isFirst && changesZone(label, candidate)) return false;
    return !isUsed(label, candidate);
  }

  /** Extends a partial chain by an engine, and labels each boundary that this reaches at a lower cost than known before. */
  private _extend(label: Label, candidate: ChainCandidate): void {
    const from = label.boundary;
    const zone = candidate.endpoint.listed.availabilityZone;
    const freeLayers = this._getFreeLayers(candidate);
    const queueMs = Math.max(label.queueMs, candidate.queueMs);
    const entryMs =
      hopMs * this._demand.answerTokens +
      this._getZoneMs(label, candidate) +
      (candidate.doubtMs ?? 0) +
      queueMs -
      label.queueMs;
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
      known.set(zone, {
        costMs,
        queueMs,
        candidate,
        boundary: to,
        previous: label,
        stages: label.stages + 1,
      });
    }
  }

  private _getFreeLayers(candidate: ChainCandidate): number {
    return this._reach === "one-zone" ? candidate.freeLayers : candidate.freeLayersCrossZone;
  }

  private _getZoneMs(label: Label, candidate: ChainCandidate): number {
    if (label.candidate !== undefined) return changesZone(label, candidate) ? zoneChangeMs : 0;
    return this._getEntryMs(candidate.endpoint);
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

/** Returns whether an engine is in another zone than the last engine of a partial chain. */
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
