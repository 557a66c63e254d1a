/** Lookup of the endpoint that an engine's rejection or report names by its address. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ChainStage } from "../http/MessageCodec.js";

/**
 * Returns the endpoint with the named address. An address may be listed twice for some seconds, for a process that has ended and for its
 * replacement. In this case the endpoint in the chain is at fault rather than the one that uses the address now.
 */
export function findNamedEndpoint(
  endpoints: EndpointTable,
  stages: readonly ChainStage[],
  address: string,
): Endpoint | undefined {
  const stage = stages.find((each) => each.address === address);
  return stage === undefined ? endpoints.getByAddress(address) : endpoints.get(stage.endpointId);
}
