/** Load balancing of plain requests: least outstanding requests, with a preference for the own availability zone. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";

/** Penalty for another availability zone, in requests. It is small, since a round trip takes 1.5 ms and a request about 60 ms. */
const otherZonePenalty = 2;
/**
 * Bonus for an endpoint with a local permit, in requests. The permit expires unless it is used, and the endpoint has capacity for it, so
 * the bonus outweighs the penalty for another zone and one request more.
 */
const permitBonus = otherZonePenalty + 1;
/** Penalty for a suspect or failing endpoint, in requests: such an endpoint is picked only if there is no other. */
const suspectPenalty = 1_000;

/** Criteria for the choice of an endpoint. */
export interface PlainEndpointQuery {
  readonly service: string;
  /** Ids of the endpoints that are excluded. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request can be retried, and may therefore probe an endpoint whose last request failed or whose back-off just ended. */
  readonly mayProbe: boolean;
}

/** Returns the endpoint with the lowest cost among those that are not excluded and have a permit; the first in the table wins a tie. */
export function pickPlainEndpoint(
  context: { readonly endpoints: EndpointTable; readonly availabilityZone: string },
  { service, excluded, mayProbe }: PlainEndpointQuery,
  nowMs: number,
): Endpoint | undefined {
  const cost = (endpoint: Endpoint): number =>
    endpoint.getLoad().requests +
    (endpoint.listed.availabilityZone === context.availabilityZone ? 0 : otherZonePenalty) -
    (endpoint.limit?.perSecond === undefined ? 0 : permitBonus) +
    (endpoint.isDoubtful(nowMs, mayProbe) ? suspectPenalty : 0);
  let best: Endpoint | undefined;
  for (const endpoint of context.endpoints.getUsable(service)) {
    if (excluded.has(endpoint.id) || !endpoint.hasPermit(nowMs)) continue;
    if (best === undefined || cost(endpoint) < cost(best)) best = endpoint;
  }
  return best;
}
