/** Chooses the engines that a request passes, by time and by room. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import type { AcceleratorKind, EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import { findCheapestChain, type ChainCandidate, type ChainDemand } from "./findCheapestChain.js";
import { getCapacityTokenLayers, getKind, getStepMs, getUnqueuedRequests } from "./engineModel.js";

/** Share of an engine's room that is handed out; the rest covers answers longer than guessed. */
const usableRoomShare = 0.92;
/**
 * An engine without room left, or with as many requests as let prompts wait, costs this many times more than an empty one, so that
 * chains fill evenly.
 */
const fullRoomFactor = 4;

/**
 * Share of an engine's room that chains may take which change zones, where the engine's zone runs all layers by itself. Such a chain
 * takes room in several zones, and each zone whose room is broken up by them sends more requests across: without a reserve (the trunk
 * reservation of telephone networks) a short overload becomes a lasting one. Measured on a day of three zones: 0.64 of the worth is
 * earned with it, 0.54 without; for twenty seconds 150 to 195 of 220 streams ran across, at 25 to 28 ms a token instead of 13 to 18.
 */
const crossingRoomShare = 0.5;

/** A spread choice takes costs from half to one and a half of what they are. */
const spreadRange = 1;

/** Rates each engine for one request, and finds the cheapest chain of those with room. */
export class ChainChooser {
  /**
   * @param nowMs - Monotonic clock, replaced in tests.
   * @param random - Numbers from 0 to 1, replaced in tests.
   */
  constructor(
    private readonly _nowMs: () => number = utils.monotonicMs,
    private readonly _random: () => number = Math.random,
  ) {}

  /** Gives the cheapest chain with room, or undefined; engines that refused the request only where there is no other way. */
  choose(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: ChainDemand,
  ): ChainStage[] | undefined {
    const others = this._chooseSparing(endpoints, profile, demand);
    const hasRefusals = demand.refusedBy !== undefined && demand.refusedBy.size > 0;
    if (others !== undefined || !hasRefusals) return others;
    return this._chooseSparing(endpoints, profile, { ...demand, refusedBy: undefined });
  }

  private _chooseSparing(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: ChainDemand,
  ): ChainStage[] | undefined {
    const sparing = this._chooseAmong(endpoints, profile, demand);
    if (sparing !== undefined || demand.redundantFirstEngine !== "rather") return sparing;
    return this._chooseAmong(endpoints, profile, { ...demand, redundantFirstEngine: undefined });
  }

  private _chooseAmong(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: ChainDemand,
  ): ChainStage[] | undefined {
    const { layerCount } = profile;
    const wholeZones = getWholeZones(endpoints, layerCount, this._nowMs());
    const spared =
      demand.redundantFirstEngine === undefined ? undefined : getLastFirsts(endpoints, this._nowMs());
    const candidates = endpoints.flatMap((endpoint) =>
      this._toCandidates(endpoint, profile, demand, wholeZones).map((candidate) =>
        spared?.has(endpoint) === true ? { ...candidate, canBeFirst: false } : candidate,
      ),
    );
    return (
      findCheapestChain(candidates, layerCount, demand, "one-zone") ??
      findCheapestChain(candidates, layerCount, demand, "several-zones")
    );
  }

  private _toCandidates(
    endpoint: Endpoint,
    profile: EngineProfile,
    demand: ChainDemand,
    wholeZones: ReadonlySet<string>,
  ): ChainCandidate[] {
    const nowMs = this._nowMs();
    if (endpoint.isSuspect(nowMs) || nowMs < endpoint.refusedUntilMs) return [];
    if (endpoint.circuitBreaker.isOpen(nowMs)) return [];
    // A stream that is moved stays with its first engine, which asked for no new ones.
    if (endpoint.backoff.getLeftMs(nowMs) > 0 && endpoint.id !== demand.firstEndpointId) return [];
    if (demand.refusedBy?.has(endpoint.listed.address) === true) return [];
    const kind = getKind(endpoint, profile);
    if (kind === undefined) return [];
    const tokens = demand.promptTokens + demand.answerTokens;
    const capacity = Math.min(
      getCapacityTokenLayers(endpoint, profile) * usableRoomShare,
      endpoint.getSeenFullTokenLayers(nowMs),
    );
    const load = endpoint.getLoad();
    const tokenFullness = capacity <= 0 ? 1 : load.tokenLayers / capacity;
    const fullness = Math.max(tokenFullness, load.requests / getUnqueuedRequests(endpoint, profile));
    const state = { sequences: load.requests + 1, slowness: endpoint.slowness };
    const spread = demand.isRandomized === true ? 1 + spreadRange * (this._random() - 0.5) : 1;
    const crowding = 1 + fullRoomFactor * fullness ** 2;
    const msPerLayer = getMsPerLayer(profile, kind, demand, state) * crowding * spread;
    const countFree = (share: number): number =>
      Math.floor((capacity * share - load.tokenLayers) / Math.max(1, tokens));
    const freeLayers = countFree(1);
    const isZoneWhole = wholeZones.has(endpoint.listed.availabilityZone);
    const freeLayersAcross = isZoneWhole ? countFree(crossingRoomShare) : freeLayers;
    // All that pass count, since those that begin elsewhere and those that begin here are not told apart among the instances.
    const mayBegin = load.requests < endpoint.listed.slots && endpoint.hasPermit(nowMs);
    return endpoint.listed.layers.map(({ start, end }) => ({
      endpoint,
      start,
      end,
      msPerLayer,
      freeLayers,
      freeLayersCrossZone: freeLayersAcross,
      canBeFirst: mayBegin,
    }));
  }
}

/** Zones whose engines run all layers without those of other zones, whether or not they have room now. */
function getWholeZones(endpoints: readonly Endpoint[], layerCount: number, nowMs: number): Set<string> {
  const usable = endpoints.filter((endpoint) => !endpoint.isSuspect(nowMs));
  const zones = utils.groupBy(usable, (endpoint) => endpoint.listed.availabilityZone);
  const isWhole = (members: readonly Endpoint[]): boolean =>
    placement.isCovered(
      { start: 0, end: layerCount },
      members.flatMap((member) => member.listed.layers),
    );
  return new Set([...zones].flatMap(([zone, members]) => (isWhole(members) ? [zone] : [])));
}

/** Engines that are the only ones of their zones with the first layers. */
function getLastFirsts(endpoints: readonly Endpoint[], nowMs: number): Set<Endpoint> {
  // One that has just failed a request may have crashed, and stands in for nobody.
  const sound = endpoints.filter(
    (endpoint) => !endpoint.isSuspect(nowMs) && !endpoint.circuitBreaker.isOpen(nowMs),
  );
  const firsts = sound.filter(({ listed }) => listed.layers.some(({ start }) => start === 0));
  const zones = utils.groupBy(firsts, (endpoint) => endpoint.listed.availabilityZone);
  return new Set([...zones.values()].filter((members) => members.length === 1).flat());
}

/** Time that one layer of the whole request takes at an engine, beside what it runs already. */
function getMsPerLayer(
  profile: EngineProfile,
  kind: AcceleratorKind,
  demand: ChainDemand,
  state: { readonly sequences: number; readonly slowness: number },
): number {
  const tokens = demand.promptTokens + demand.answerTokens;
  const stepMs = getStepMs(profile, state.sequences, tokens) * kind.stepFactor * state.slowness;
  const prefillMs =
    (demand.promptTokens / profile.prefillTokensPerSecond) * utils.msPerSecond * kind.prefillFactor;
  return (stepMs * demand.answerTokens + prefillMs) / profile.layerCount;
}
