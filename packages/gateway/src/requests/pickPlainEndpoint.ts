/** The choice of an endpoint for a plain request: by our own count of open requests, the own zone first. */
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";

/** Another zone counts as this many more open requests: a round trip of 1.5 ms is little against 60 ms of work. */
const otherZoneRequests = 2;
/** A permit in hand runs out unless it is used, and the endpoint has room for it: it makes up for another zone, and for one request more. */
const permitRequests = otherZoneRequests + 1;
/** A suspect endpoint, or one that fails requests, counts as this many more, so that it is taken only when all are. */
const suspectRequests = 1_000;

/** What is picked for. */
export interface PlainEndpointQuery {
  readonly service: string;
  readonly tried: ReadonlySet<string>;
  /** Whether the request has a chance to spare for an endpoint that failed last; without one it goes to those that are sound. */
  readonly mayProbe: boolean;
}

/** Picks the endpoint with the fewest requests in hand among those not tried yet that leave a permit; ties go to the smaller id. */
export function pickPlainEndpoint(
  context: { readonly endpoints: EndpointTable; readonly availabilityZone: string },
  { service, tried, mayProbe }: PlainEndpointQuery,
  nowMs: number,
): Endpoint | undefined {
  const isShunned = (endpoint: Endpoint): boolean =>
    endpoint.isSuspect(nowMs) ||
    endpoint.circuitBreaker.isBlocked(nowMs) ||
    (!mayProbe && endpoint.isUnproven(nowMs));
  const cost = (endpoint: Endpoint): number =>
    endpoint.getLoad().requests +
    (endpoint.listed.availabilityZone === context.availabilityZone ? 0 : otherZoneRequests) -
    (endpoint.limit?.perSecond === undefined ? 0 : permitRequests) +
    (isShunned(endpoint) ? suspectRequests : 0);
  let best: Endpoint | undefined;
  for (const endpoint of context.endpoints.getUsable(service)) {
    if (tried.has(endpoint.id) || !endpoint.hasPermit(nowMs)) continue;
    if (best === undefined || cost(endpoint) < cost(best)) best = endpoint;
  }
  return best;
}
