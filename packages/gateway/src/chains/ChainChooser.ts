/** Choice of the engines that run a request. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import type { AcceleratorKind, EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import type { AssumedRestarts } from "./ConcurrentRestarts.js";
import { createEntryCost, type EntryControls } from "./EntryCosts.js";
import type { FirstEventForecast } from "./FirstEventForecast.js";
import { findCheapestChain, type ChainCandidate, type ChainDemand } from "./findCheapestChain.js";
import { getDoubtCostMs, getTrialEngines } from "./getTrialEngines.js";
import {
  countLoadedLayers,
  getKind,
  getStepMs,
  getUnqueuedRequests,
  getUsableTokenLayers,
  getUtilizationFactor,
} from "./engineModel.js";

/**
 * Share of an engine's capacity that cross-zone chains may use if the engine's zone can run all layers by itself. A cross-zone chain uses
 * capacity in several zones, and a zone whose capacity is fragmented by such chains sends more requests to other zones. Without a reserve
 * (the trunk reservation of telephone networks) a short overload becomes a lasting one.
 *
 * In a recorded scenario with three zones, the deployment earns 0.64 of the possible value with the reserve and 0.54 without. Without the
 * reserve, 150 to 195 of 220 streams run across zones for twenty seconds, at 25 to 28 ms per token instead of 13 to 18.
 */
const crossZoneCapacityShare = 0.5;

/** Number of draws among engines for a restart; a chain needs all of its engines to be drawn at the same time. */
const maxDraws = 2;

/** Width of the random factor on the costs of a randomized choice, which lies between 0.5 and 1.5. */
const randomFactorRange = 1;

/** The decisions under load that change the choice of chains. */
export interface ChoiceControls extends EntryControls {
  readonly firstEvents?: Pick<FirstEventForecast, "getQueueCostMs"> | undefined;
}

interface TrialDemand extends ChainDemand {
  /** Engines in doubt that may get the request. */
  readonly tried?: ReadonlySet<Endpoint>;
}

/** Computes the cost of each engine for a request, and finds the cheapest chain of engines with free capacity. */
export class ChainChooser {
  /**
   * @param nowMs - Monotonic clock; replaced in tests.
   * @param random - Returns a random number from 0 to 1; replaced in tests.
   * @param _controls - The decisions under load that change the choice; none if omitted.
   */
  constructor(
    private readonly _nowMs: () => number = utils.monotonicMs,
    private readonly _random: () => number = Math.random,
    private readonly _controls: ChoiceControls = {},
  ) {}

  /**
   * Returns the cheapest chain with free capacity, or undefined if there is none. Engines that rejected the request before are used only
   * if there is no other chain, and engines in doubt only if too few others are left.
   */
  choose(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: ChainDemand,
  ): ChainStage[] | undefined {
    const chain = this._chooseAvoidingRefusals(endpoints, profile, demand);
    if (chain !== undefined || demand.mayProbe !== true) return chain;
    const tried = getTrialEngines(endpoints, profile.layerCount, demand.availabilityZone, this._nowMs());
    return tried.size === 0
      ? undefined
      : this._chooseAvoidingRefusals(endpoints, profile, { ...demand, tried });
  }

  private _chooseAvoidingRefusals(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: TrialDemand,
  ): ChainStage[] | undefined {
    const chain = this._choosePreferringRoom(endpoints, profile, demand);
    const hasRefusals = demand.refusedBy !== undefined && demand.refusedBy.size > 0;
    if (chain !== undefined || !hasRefusals) return chain;
    return this._choosePreferringRoom(endpoints, profile, { ...demand, refusedBy: undefined });
  }

  /** Chooses among engines with room for the restarts of other instances as well, or among all if that leaves no chain. */
  private _choosePreferringRoom(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: TrialDemand,
  ): ChainStage[] | undefined {
    for (const assumedRestarts of getAssumptions(endpoints, demand)) {
      for (let draw = 0; draw < maxDraws; draw++) {
        const chain = this._choosePreferringRedundancy(endpoints, profile, { ...demand, assumedRestarts });
        if (chain !== undefined) return chain;
      }
    }
    return this._choosePreferringRedundancy(endpoints, profile, { ...demand, assumedRestarts: undefined });
  }

  /** Records that a stream begins at an engine. */
  noteStart(engine: Endpoint): void {
    this._controls.firstEngines?.noteStart(engine);
  }

  /** Chooses a chain by the demand's `redundantFirstEngine`; if redundancy is only preferred, falls back to a chain without it. */
  private _choosePreferringRedundancy(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: TrialDemand,
  ): ChainStage[] | undefined {
    const chain = this._chooseAmong(endpoints, profile, demand);
    if (chain !== undefined || demand.redundantFirstEngine !== "preferred") return chain;
    return this._chooseAmong(endpoints, profile, { ...demand, redundantFirstEngine: undefined });
  }

  private _chooseAmong(
    endpoints: readonly Endpoint[],
    profile: EngineProfile,
    demand: TrialDemand,
  ): ChainStage[] | undefined {
    const { layerCount } = profile;
    const completeZones = getCompleteZones(endpoints, layerCount, this._nowMs());
    const excluded =
      demand.redundantFirstEngine === undefined ? undefined : getSoleFirstEngines(endpoints, this._nowMs());
    const candidates = endpoints.flatMap((endpoint) =>
      this._toCandidates(endpoint, profile, demand, completeZones).map((candidate) =>
        excluded?.has(endpoint) === true ? { ...candidate, canBeFirst: false } : candidate,
      ),
    );
    const getEntryMs = createEntryCost(candidates, profile, demand, this._controls, this._random);
    return (
      findCheapestChain(candidates, layerCount, demand, "one-zone", getEntryMs) ??
      findCheapestChain(candidates, layerCount, demand, "several-zones", getEntryMs)
    );
  }

  /**
   * Draws whether this instance may use an engine while other instances place requests at the same moment. Each of them draws as well, so
   * that on average no more of them use the engine than it has room for.
   */
  private _isOwnTurn({ id }: Endpoint, freeRequests: number, { assumedRestarts }: ChainDemand): boolean {
    if (assumedRestarts === undefined || assumedRestarts.peers === 0) return true;
    const { peers } = assumedRestarts;
    const left = freeRequests - assumedRestarts.getPlaced(id) * peers;
    return this._random() * peers < left;
  }

  /** @param completeZones - Zones whose engines can run all layers without other zones. */
  private _toCandidates(
    endpoint: Endpoint,
    profile: EngineProfile,
    demand: TrialDemand,
    completeZones: ReadonlySet<string>,
  ): ChainCandidate[] {
    const nowMs = this._nowMs();
    const isTrial = demand.tried?.has(endpoint) === true;
    if (endpoint.isAvoided(nowMs) && !isTrial) return [];
    // A moved stream keeps its first engine, whose back-off applies to new requests only.
    if (endpoint.backoff.getLeftMs(nowMs) > 0 && endpoint.id !== demand.firstEndpointId) return [];
    if (demand.refusedBy?.has(endpoint.listed.address) === true) return [];
    const kind = getKind(endpoint, profile);
    if (kind === undefined) return [];
    const tokens = demand.promptTokens + demand.answerTokens;
    const capacity = getUsableTokenLayers(endpoint, profile, nowMs);
    const load = endpoint.getLoad();
    const tokenUtilization = capacity <= 0 ? 1 : load.tokenLayers / capacity;
    const utilization = Math.max(tokenUtilization, load.requests / getUnqueuedRequests(endpoint, profile));
    const state = { sequences: load.requests + 1, slowness: endpoint.slowness };
    const randomFactor = demand.isRandomized === true ? 1 + randomFactorRange * (this._random() - 0.5) : 1;
    const utilizationFactor = getUtilizationFactor(utilization);
    const msPerLayer = getMsPerLayer(profile, kind, demand, state) * utilizationFactor * randomFactor;
    const countFree = (share: number): number =>
      Math.floor((capacity * share - load.tokenLayers) / Math.max(1, tokens));
    const freeLayers = countFree(1);
    if (!this._isOwnTurn(endpoint, freeLayers / countLoadedLayers(endpoint), demand)) return [];
    const isZoneComplete = completeZones.has(endpoint.listed.availabilityZone);
    const freeLayersCrossZone = isZoneComplete ? countFree(crossZoneCapacityShare) : freeLayers;
    // Compares all requests at the engine with its slots, since the load that peers report includes requests that begin elsewhere.
    const canBeFirst = load.requests < endpoint.listed.slots && endpoint.hasPermit(nowMs);
    const queueMs = this._controls.firstEvents?.getQueueCostMs(endpoint, profile, demand) ?? 0;
    const doubtMs = isTrial ? getDoubtCostMs(endpoint, nowMs, this._random()) : 0;
    return endpoint.listed.layers.map(({ start, end }) => ({
      endpoint,
      start,
      end,
      msPerLayer,
      queueMs,
      doubtMs,
      freeLayers,
      freeLayersCrossZone,
      canBeFirst,
    }));
  }
}

/**
 * Returns the assumptions on the restarts of other instances, the most careful first: all streams that were cut at the same moment may be
 * drawn to one zone, or they are spread over all.
 */
function getAssumptions(
  endpoints: readonly Endpoint[],
  { assumedRestarts }: ChainDemand,
): readonly AssumedRestarts[] {
  if (assumedRestarts === undefined) return [];
  const zones = new Set(endpoints.map(({ listed }) => listed.availabilityZone)).size;
  const { peers, getPlaced } = assumedRestarts;
  return [assumedRestarts, { peers: peers / zones, getPlaced }];
}

/** Returns the zones whose engines can run all layers without other zones, whether or not they have free capacity now. */
function getCompleteZones(endpoints: readonly Endpoint[], layerCount: number, nowMs: number): Set<string> {
  const usable = endpoints.filter((endpoint) => !endpoint.isSuspect(nowMs));
  const zones = utils.groupBy(usable, (endpoint) => endpoint.listed.availabilityZone);
  const isComplete = (members: readonly Endpoint[]): boolean =>
    placement.isCovered(
      { start: 0, end: layerCount },
      members.flatMap((member) => member.listed.layers),
    );
  return new Set([...zones].flatMap(([zone, members]) => (isComplete(members) ? [zone] : [])));
}

/** Returns the engines that are the only ones of their zones with the first layers. */
function getSoleFirstEngines(endpoints: readonly Endpoint[], nowMs: number): Set<Endpoint> {
  // An engine that has just failed a request may have crashed, so it does not count as a replacement.
  const healthy = endpoints.filter(
    (endpoint) => !endpoint.isSuspect(nowMs) && !endpoint.circuitBreaker.isOpen(nowMs),
  );
  const firsts = healthy.filter(({ listed }) => listed.layers.some(({ start }) => start === 0));
  const zones = utils.groupBy(firsts, (endpoint) => endpoint.listed.availabilityZone);
  return new Set([...zones.values()].filter((members) => members.length === 1).flat());
}

/** Returns the time that one layer takes for the whole request, at an engine with `state.sequences` concurrent requests. */
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
