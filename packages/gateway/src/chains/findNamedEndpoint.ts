/** Which endpoint an engine's refusal names. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ChainStage } from "../http/MessageCodec.js";

/**
 * Finds the endpoint that a refusal names by its address. An address may be listed twice for some seconds, for a process that is gone and
 * for the one that took its place; the one that the chain meant is at fault, and not the one that answers there now.
 */
export function findNamedEndpoint(
  endpoints: EndpointTable,
  stages: readonly ChainStage[],
  address: string,
): Endpoint | undefined {
  const stage = stages.find((each) => each.address === address);
  return stage === undefined ? endpoints.getByAddress(address) : endpoints.get(stage.endpointId);
}
