/** The free capacity of the zones, for the log line of a rejected request. */
import { utils } from "@shedtiller/common";
import type { EngineProfile } from "../configuration/gatewayConfiguration.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import { getCapacityTokenLayers, countLoadedLayers } from "./engineModel.js";

/**
 * Returns for each zone the layers with the least free capacity and the number of tokens that fit there: `zone:46-63=1200` means 1,200
 * tokens at the layers from 46 to before 63.
 */
export function describeFreeCapacity(
  endpoints: readonly Endpoint[],
  profile: EngineProfile,
  nowMs: number,
): string[] {
  const usable = endpoints.filter((endpoint) => !endpoint.isSuspect(nowMs));
  const zones = utils.groupBy(usable, (endpoint) => endpoint.listed.availabilityZone);
  return [...zones].map(([zone, members]) => {
    const tokens = getFreeTokensByLayer(members, profile);
    const minTokens = Math.min(...tokens);
    const start = tokens.indexOf(minTokens);
    return `${zone}:${start}-${tokens.lastIndexOf(minTokens) + 1}=${Math.round(minTokens)}`;
  });
}

/** Returns the tokens that fit at each layer, with the free memory of an engine spread evenly over its loaded layers. */
function getFreeTokensByLayer(members: readonly Endpoint[], profile: EngineProfile): number[] {
  const tokens = new Array<number>(profile.layerCount).fill(0);
  for (const member of members) {
    const loadedLayers = countLoadedLayers(member);
    const free = Math.max(0, getCapacityTokenLayers(member, profile) - member.getLoad().tokenLayers);
    for (const { start, end } of member.listed.layers) {
      for (let layer = start; layer < end; layer++)
        tokens[layer] = (tokens[layer] ?? 0) + free / loadedLayers;
    }
  }
  return tokens;
}
