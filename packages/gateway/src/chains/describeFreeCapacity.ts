/** A short account of the room that is left, for the log line of a request that found none. */
import { utils } from "@shedtiller/common";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import { getCapacityTokenLayers, countLoadedLayers } from "./engineModel.js";

/** For each zone the layers with the least room, and the tokens that fit there: `zone:46-63=1200`. */
export function describeFreeCapacity(
  endpoints: readonly Endpoint[],
  profile: EngineProfile,
  nowMs: number,
): string[] {
  const usable = endpoints.filter((endpoint) => !endpoint.isSuspect(nowMs));
  const zones = utils.groupBy(usable, (endpoint) => endpoint.listed.availabilityZone);
  return [...zones].map(([zone, members]) => {
    const tokens = getFreeTokensByLayer(members, profile);
    const least = Math.min(...tokens);
    const start = tokens.indexOf(least);
    return `${zone}:${start}-${tokens.lastIndexOf(least) + 1}=${Math.round(least)}`;
  });
}

function getFreeTokensByLayer(members: readonly Endpoint[], profile: EngineProfile): number[] {
  const tokens = new Array<number>(profile.layerCount).fill(0);
  for (const member of members) {
    const held = countLoadedLayers(member);
    const free = Math.max(0, getCapacityTokenLayers(member, profile) - member.getLoad().tokenLayers);
    for (const { start, end } of member.listed.layers) {
      for (let layer = start; layer < end; layer++) tokens[layer] = (tokens[layer] ?? 0) + free / held;
    }
  }
  return tokens;
}
