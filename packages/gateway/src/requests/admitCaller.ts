/** Whether a request is let in: it needs a route, and a key where the deployment has keys. */
import type { GatewayAccount, Route } from "../configuration/gatewayConfiguration.js";
import type { RouteTable } from "../configuration/RouteTable.js";
import type { RefusalReason } from "./sendRefusal.js";

/** When to come back to an instance that has no configuration yet, or none that is fresh enough. */
const notReadyRetryAfterMs = 500;
/** Callers do not come back after these. */
const denialStatuses: ReadonlySet<number> = new Set([401, 403, 404]);

/** What a request says of where it goes and whose it is. */
export interface AdmissionInput {
  /** Host without port. */
  readonly host: string;
  /** Path, with or without query. */
  readonly path: string;
  readonly apiKey: string | undefined;
}

/** A request that was let in. */
export interface AdmittedRequest {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined for requests without a client account. */
  readonly account: GatewayAccount | undefined;
}

/** Why a request was not let in. */
export interface Refusal {
  readonly status: number;
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
}

/** For callers who were not let in, on a configuration that may be too old to say so. */
export const staleConfigurationRefusal: Refusal = {
  status: 503,
  reason: "stale-configuration",
  retryAfterMs: notReadyRetryAfterMs,
};

/** Whether a request was not let in for good: what it asks for does not exist, or not for this key. */
export function isDenial(admitted: AdmittedRequest | Refusal): boolean {
  return "reason" in admitted && denialStatuses.has(admitted.status);
}

/**
 * Finds the route and the client account of a request, or the reason to refuse it.
 * @param table - The configuration in force; undefined until one is known.
 * @param areKeysFresh - Whether keys may be taken at their word now.
 */
export function admitCaller(
  claim: AdmissionInput,
  table: RouteTable | undefined,
  areKeysFresh: () => boolean,
): AdmittedRequest | Refusal {
  if (table === undefined)
    return { status: 503, reason: "no-configuration", retryAfterMs: notReadyRetryAfterMs };
  const route = table.getRoute(claim.host, claim.path);
  if (route === undefined) return { status: 404, reason: "no-route" };
  const anonymous = { table, route, account: undefined };
  if (!table.hasAccounts) return anonymous;
  const { apiKey } = claim;
  if (apiKey === undefined && route.isAnonymousAllowed) return anonymous;
  if (!areKeysFresh()) {
    return staleConfigurationRefusal;
  }
  if (apiKey === undefined) return { status: 401, reason: "no-key" };
  const account = table.getAccount(apiKey);
  if (account !== undefined) return { table, route, account };
  return route.isAnonymousAllowed ? anonymous : { status: 401, reason: "unknown-key" };
}
