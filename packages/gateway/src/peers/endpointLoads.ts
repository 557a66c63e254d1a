/** Sums, differences and wire format of the loads of endpoints. */
import type { EndpointLoad } from "../discovery/Endpoint.js";
import { isEndpointKey } from "./figures.js";

/** Loads by the life id of the endpoint. */
export type Loads = ReadonlyMap<string, EndpointLoad>;

/**
 * Requests and token-layers by the life id of the endpoint, as sent to peers. Unread prompt tokens have keys of their own, since instances
 * of an earlier version accept only pairs.
 */
export type LoadMessage = Record<string, [number, number]>;

/** Suffix of the key for the unread prompt tokens of an endpoint; no life id contains this character. */
const promptSuffix = "#";

/** Adds up the loads of each endpoint. */
export function sumLoads(summands: readonly Loads[]): Loads {
  const sum = new Map<string, EndpointLoad>();
  for (const summand of summands) {
    for (const [id, load] of summand) {
      const known = sum.get(id);
      sum.set(id, known === undefined ? load : add(known, load, 1));
    }
  }
  return sum;
}

/** Subtracts loads from a sum. Endpoints that the sum does not contain are ignored. */
export function subtractLoads(sum: Loads, subtrahend: Loads): Loads {
  const difference = new Map(sum);
  for (const [id, load] of subtrahend) {
    const known = sum.get(id);
    if (known !== undefined) difference.set(id, add(known, load, -1));
  }
  return difference;
}

function add(first: EndpointLoad, second: EndpointLoad, sign: 1 | -1): EndpointLoad {
  return {
    requests: first.requests + sign * second.requests,
    tokenLayers: first.tokenLayers + sign * second.tokenLayers,
    promptTokens: first.promptTokens + sign * second.promptTokens,
  };
}

/** Converts loads to the wire format, without endpoints that have no request. */
export function toLoadMessage(loads: Loads): LoadMessage {
  const message: LoadMessage = {};
  for (const [id, { requests, tokenLayers, promptTokens }] of loads) {
    if (requests <= 0) continue;
    message[id] = [requests, Math.round(tokenLayers)];
    if (promptTokens > 0) message[id + promptSuffix] = [promptTokens, 0];
  }
  return message;
}

/** Converts loads from the wire format. */
export function toLoads(message: LoadMessage): Loads {
  const loads = new Map<string, EndpointLoad>();
  for (const [id, [requests, tokenLayers]] of Object.entries(message)) {
    if (!isEndpointKey(id) || id.endsWith(promptSuffix)) continue;
    const [promptTokens] = message[id + promptSuffix] ?? [0];
    loads.set(id, { requests, tokenLayers, promptTokens });
  }
  return loads;
}
