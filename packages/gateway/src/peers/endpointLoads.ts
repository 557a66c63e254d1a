/** Loads of endpoints: their sums and differences, and their form on the wire between instances. */
import type { EndpointLoad } from "../discovery/Endpoint.js";

/** Loads by the endpoint's id. */
export type Loads = ReadonlyMap<string, EndpointLoad>;

/** Requests and token-layers by endpoint, as they go over the wire. */
export type LoadMessage = Record<string, [number, number]>;

/** Adds up loads endpoint by endpoint. */
export function addUp(parts: readonly Loads[]): Loads {
  const sum = new Map<string, EndpointLoad>();
  for (const part of parts) {
    for (const [id, load] of part) {
      const known = sum.get(id);
      sum.set(id, known === undefined ? load : add(known, load, 1));
    }
  }
  return sum;
}

/** Takes a part out of a sum; endpoints that the sum does not have are passed over. */
export function subtract(all: Loads, part: Loads): Loads {
  const rest = new Map(all);
  for (const [id, load] of part) {
    const known = all.get(id);
    if (known !== undefined) rest.set(id, add(known, load, -1));
  }
  return rest;
}

function add(first: EndpointLoad, second: EndpointLoad, sign: 1 | -1): EndpointLoad {
  return {
    requests: first.requests + sign * second.requests,
    tokenLayers: first.tokenLayers + sign * second.tokenLayers,
  };
}

/** Gives the wire form; endpoints without a request are left out. */
export function toMessage(loads: Loads): LoadMessage {
  const message: LoadMessage = {};
  for (const [id, { requests, tokenLayers }] of loads) {
    if (requests > 0) message[id] = [requests, Math.round(tokenLayers)];
  }
  return message;
}

/** Reads the wire form. */
export function toLoads(message: LoadMessage): Loads {
  const entries = Object.entries(message);
  return new Map(entries.map(([id, [requests, tokenLayers]]) => [id, { requests, tokenLayers }]));
}
