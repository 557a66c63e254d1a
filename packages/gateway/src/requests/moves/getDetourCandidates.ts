/** The engines that may take over layers of a stream, with their costs. */
import { utils } from "@shedtiller/common";
import {
  getKind,
  getStepMs,
  getUnqueuedRequests,
  getUsableTokenLayers,
  getUtilizationFactor,
} from "../../chains/engineModel.js";
import type { ChainCandidate, ChainDemand } from "../../chains/findCheapestChain.js";
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../../discovery/Endpoint.js";

/** Inputs of {@link getDetourCandidates}. */
export interface DetourCandidateQuery {
  readonly endpoints: readonly Endpoint[];
  readonly profile: EngineProfile;
  readonly demand: ChainDemand;
  readonly nowMs: number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Returns the engines of the demand's zone with free capacity, each with the time that the stream takes there. */
export function getDetourCandidates(query: DetourCandidateQuery): ChainCandidate[] {
  const { endpoints, demand, nowMs } = query;
  return endpoints
    .filter(({ listed }) => listed.availabilityZone === demand.availabilityZone)
    .filter((endpoint) => !endpoint.isAvoided(nowMs))
    .flatMap((endpoint) => toCandidates(endpoint, query));
}

function toCandidates(endpoint: Endpoint, query: DetourCandidateQuery): ChainCandidate[] {
  const { profile, demand, nowMs, random } = query;
  const kind = getKind(endpoint, profile);
  if (kind === undefined) return [];
  const tokens = Math.max(1, demand.promptTokens + demand.answerTokens);
  const load = endpoint.getLoad();
  const capacity = getUsableTokenLayers(endpoint, profile, nowMs);
  const utilization = load.requests / getUnqueuedRequests(endpoint, profile);
  const stepMs = getStepMs(profile, load.requests + 1, tokens) * kind.stepFactor * demand.answerTokens;
  const readMs = (tokens / profile.prefillTokensPerSecond) * utils.msPerSecond * kind.prefillFactor;
  const loadFactor = getUtilizationFactor(utilization);
  // The least of several exponentially distributed costs is each engine's with a probability in proportion to its speed. So the streams that
  // many instances move at the same time are read by all engines with these layers.
  const randomFactor = -Math.log(1 - random());
  const msPerLayer = ((stepMs + readMs) / profile.layerCount) * endpoint.slowness * loadFactor * randomFactor;
  const freeLayers = Math.floor((capacity - load.tokenLayers) / tokens);
  return endpoint.listed.layers.map(({ start, end }) => ({
    endpoint,
    start,
    end,
    msPerLayer,
    queueMs: 0,
    freeLayers,
    freeLayersCrossZone: freeLayers,
    canBeFirst: true,
  }));
}
