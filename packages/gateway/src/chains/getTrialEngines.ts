/** Choice of the engines in doubt that may get a request, since too few others are left. */
import type { Endpoint } from "../discovery/Endpoint.js";

/** Rank of an engine in doubt behind all others, above the cost of several changes of zones, in milliseconds of cost. */
const doubtCostMs = 100_000;
/** Silences that are longer make no difference to the rank: an engine that works is silent for two seconds at most. */
const maxRankedSilenceMs = 2_000;

/**
 * Returns the engines in doubt that may get a request now: those with a layer for which fewer engines of the own zone are sound than in
 * doubt. Engines that fail by themselves are rarely the majority; the cause is then more likely a pause that passes, or this instance. If only
 * engines of other zones are silent, the zone may be cut off from them.
 */
export function getTrialEngines(
  endpoints: readonly Endpoint[],
  layerCount: number,
  availabilityZone: string,
  nowMs: number,
): ReadonlySet<Endpoint> {
  const inDoubt = endpoints.filter((endpoint) => endpoint.isInDoubt(nowMs));
  if (inDoubt.length === 0) return new Set();
  const isOwn = ({ listed }: Endpoint): boolean => listed.availabilityZone === availabilityZone;
  const counted = endpoints.some(isOwn) ? endpoints.filter(isOwn) : endpoints;
  const sound = countByLayer(
    counted.filter((endpoint) => !endpoint.isAvoided(nowMs)),
    layerCount,
  );
  const doubtful = countByLayer(
    counted.filter((endpoint) => endpoint.isInDoubt(nowMs)),
    layerCount,
  );
  const scarceLayers = [...doubtful.keys()].filter((layer) => (doubtful[layer] ?? 0) > (sound[layer] ?? 0));
  const hasScarceLayer = ({ listed }: Endpoint): boolean =>
    scarceLayers.some((layer) => listed.layers.some(({ start, end }) => start <= layer && layer < end));
  return new Set(inDoubt.filter((endpoint) => endpoint.mayBeTried(nowMs) && hasScarceLayer(endpoint)));
}

/**
 * Returns the cost of an engine in doubt. The engine that was heard last most likely still works, but instances that see the same silence must
 * not all try the same engine.
 * @param random - A random number from 0 to 1.
 */
export function getDoubtCostMs({ heardAtMs }: Endpoint, nowMs: number, random: number): number {
  return doubtCostMs + Math.min(maxRankedSilenceMs, nowMs - heardAtMs) * (0.5 + random);
}

function countByLayer(endpoints: readonly Endpoint[], layerCount: number): number[] {
  const counts = new Array<number>(layerCount).fill(0);
  for (const { listed } of endpoints) {
    for (const { start, end } of listed.layers) {
      for (let layer = start; layer < end; layer++) counts[layer] = (counts[layer] ?? 0) + 1;
    }
  }
  return counts;
}
