/** Costs of a chain that depend on the engine and the zone where it begins. */
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { ZoneFlows } from "../loadcontrol/ZoneFlows.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { FirstEngineShares } from "./FirstEngineShares.js";
import type { ChainCandidate, ChainDemand } from "./findCheapestChain.js";

/** Cost of a chain that begins in another zone, to which only the text of the request and its answer is transferred. */
export const otherZoneMs = 200;

/** Returns the cost of beginning a chain at an engine. */
export type EntryCost = (engine: Endpoint) => number;

/** The decisions under load that change where chains begin. */
export interface EntryControls {
  readonly flows?: ZoneFlows | undefined;
  readonly firstEngines?: FirstEngineShares | undefined;
}

/** Returns the cost of an entry without decisions under load: the own zone costs nothing, all others the same. */
export function getUsualEntryMs(engine: Endpoint, availabilityZone: string): number {
  return engine.listed.availabilityZone === availabilityZone ? 0 : otherZoneMs;
}

/**
 * Returns the costs of entries for one request. A stream that has begun keeps its first engine, so that no decision changes its costs.
 * @param random - A random number from 0 to 1.
 */
export function createEntryCost(
  candidates: readonly ChainCandidate[],
  profile: EngineProfile,
  demand: ChainDemand,
  { flows, firstEngines }: EntryControls,
  random: () => number,
): EntryCost {
  const usual: EntryCost = (engine) => getUsualEntryMs(engine, demand.availabilityZone);
  if (demand.firstEndpointId !== undefined) return usual;
  const detoursMs =
    firstEngines?.getDetoursMs(candidates, profile, demand.answerTokens) ?? new Map<Endpoint, number>();
  // Another zone must not become cheaper by a detour at home.
  const awayMs = Math.max(0, ...detoursMs.values());
  const getZoneMs = createZoneCost(flows, usual, random);
  return (engine) => {
    const zoneMs = getZoneMs(engine);
    return zoneMs + (detoursMs.get(engine) ?? 0) + (zoneMs > 0 ? awayMs : 0);
  };
}

/** Returns the costs of zones, for which one zone is drawn. */
function createZoneCost(flows: ZoneFlows | undefined, usual: EntryCost, random: () => number): EntryCost {
  if (flows === undefined) return usual;
  const drawn = random();
  const known = new Map<string, number>();
  return (engine) => {
    const { service, availabilityZone } = engine.listed;
    const zoneMs =
      known.get(availabilityZone) ?? flows.getZoneMs(service, availabilityZone, drawn) ?? usual(engine);
    known.set(availabilityZone, zoneMs);
    return zoneMs;
  };
}
