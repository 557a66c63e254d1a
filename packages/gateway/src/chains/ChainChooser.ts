/** Chooses the engines that a request passes: the cheapest cover of all layers, by time and by room. */
import { utils } from "@shedtiller/common";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import { getCapacityTokenLayers, getKind, getStepMs, hopMs } from "./engineModel.js";

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

/** Share of an engine's room that is handed out; the rest covers answers longer than guessed. */
const usableRoomShare = 0.92;
/** Room that is nearly full costs this many times more than empty room, so that chains fill evenly. */
const fullRoomFactor = 4;
/**
 * Cost of a chain that goes on in another zone, in ms: the activations of a prompt (50 MB on the deployments at hand) take the
 * pipe that all share for 15 ms, and a pipe that is full slows every chain across it. Measured: bench/RESULTS.md, round 7.
 */
const zoneChangeMs = 20_000;
/** Cost of a chain that lies in another zone from its beginning, in ms: only text passes between the zones. */
const otherZoneMs = 200;
/** A spread choice takes costs from half to one and a half of what they are. */
const spreadRange = 1;
/** A part of a chain, at most this many: the wire's bound is 32; longer chains than this lose more by hops. */
const mostStages = 24;

interface Candidate {
  readonly endpoint: Endpoint;
  readonly start: number;
  readonly end: number;
  /** Cost of one layer for the whole request. */
  readonly msPerLayer: number;
  /** Layers that the request's tokens still fit into. */
  readonly freeLayers: number;
}

interface Label {
  readonly costMs: number;
  readonly candidate: Candidate | undefined;
  readonly boundary: number;
  readonly previous: Label | undefined;
  readonly stages: number;
}

/** Finds chains over the layer boundaries of the engines in hand (dynamic programming, boundary by boundary). */
export class ChainChooser {
  /**
   * @param nowMs - Monotonic clock, replaced in tests.
   * @param random - Numbers from 0 to 1, replaced in tests.
   */
  constructor(
    private readonly _nowMs: () => number = utils.monotonicMs,
    private readonly _random: () => number = Math.random,
  ) {}

  /** Gives the cheapest chain with room, or undefined. */
  choose(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: ChainDemand,
  ): ChainStage[] | undefined {
    const candidates = endpoints.flatMap((endpoint) => this._toCandidates(endpoint, profile, demand));
    const labels = cover(candidates, profile.layerCount, demand);
    const best = pickCheapest(labels.get(profile.layerCount)?.values() ?? []);
    return best === undefined ? undefined : toStages(best);
  }

  private _toCandidates(endpoint: Endpoint, profile: EngineProfile, demand: ChainDemand): Candidate[] {
    const nowMs = this._nowMs();
    if (endpoint.isSuspect(nowMs) || nowMs < endpoint.refusedUntilMs) return [];
    const kind = getKind(endpoint, profile);
    if (kind === undefined) return [];
    const tokens = demand.promptTokens + demand.answerTokens;
    const capacity = getCapacityTokenLayers(endpoint, profile) * usableRoomShare;
    const load = endpoint.getLoad();
    const free = capacity - load.tokenLayers;
    const fullness = capacity <= 0 ? 1 : load.tokenLayers / capacity;
    const stepMs = getStepMs(profile, load.requests + 1, tokens) * kind.stepFactor * endpoint.slowness;
    const prefillMs =
      (demand.promptTokens / profile.prefillTokensPerSecond) * utils.msPerSecond * kind.prefillFactor;
    const spread = demand.isSpread === true ? 1 + spreadRange * (this._random() - 0.5) : 1;
    const msPerLayer =
      spread *
      ((stepMs * demand.answerTokens + prefillMs) / profile.layerCount) *
      (1 + fullRoomFactor * fullness ** 2);
    const freeLayers = Math.floor(free / Math.max(1, tokens));
    return endpoint.listed.layers.map(({ start, end }) => ({ endpoint, start, end, msPerLayer, freeLayers }));
  }
}

/** The best label for each boundary and zone of the last engine. */
type Labels = Map<number, Map<string, Label>>;

function cover(candidates: readonly Candidate[], layerCount: number, demand: ChainDemand): Labels {
  const boundaries = getBoundaries(candidates, layerCount, demand.firstEnd);
  const labels: Labels = new Map([
    [0, new Map([["", { costMs: 0, candidate: undefined, boundary: 0, previous: undefined, stages: 0 }]])],
  ]);
  for (const from of boundaries) {
    for (const label of labels.get(from)?.values() ?? []) {
      for (const candidate of candidates) extend(labels, label, candidate, boundaries, demand);
    }
  }
  return labels;
}

function getBoundaries(
  candidates: readonly Candidate[],
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
  candidate: Candidate,
  boundaries: readonly number[],
  demand: ChainDemand,
): void {
  const from = label.boundary;
  if (from < candidate.start || from >= candidate.end || label.stages >= mostStages) return;
  if (from === 0 && demand.firstEndpointId !== undefined && candidate.endpoint.id !== demand.firstEndpointId)
    return;
  if (isUsed(label, candidate)) return;
  const zone = candidate.endpoint.listed.availabilityZone;
  const entryMs = hopMs * demand.answerTokens + getZoneMs(zone, label, demand);
  for (const to of boundaries) {
    if (from === 0 && demand.firstEnd !== undefined && to !== demand.firstEnd) continue;
    if (to <= from || to > candidate.end || to - from > candidate.freeLayers) continue;
    const costMs = label.costMs + entryMs + (to - from) * candidate.msPerLayer;
    const known = labels.get(to) ?? new Map<string, Label>();
    labels.set(to, known);
    if ((known.get(zone)?.costMs ?? Number.POSITIVE_INFINITY) <= costMs) continue;
    known.set(zone, { costMs, candidate, boundary: to, previous: label, stages: label.stages + 1 });
  }
}

function getZoneMs(zone: string, label: Label, demand: ChainDemand): number {
  if (label.candidate === undefined) return zone === demand.availabilityZone ? 0 : otherZoneMs;
  return zone === label.candidate.endpoint.listed.availabilityZone ? 0 : zoneChangeMs;
}

function isUsed(label: Label, candidate: Candidate): boolean {
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
