/** Admission of requests: a request needs a route, and a valid API key if the deployment has client accounts. */
import type { GatewayAccount, Route } from "../configuration/gatewayConfiguration.js";
import type { RouteTable } from "../configuration/RouteTable.js";
import type { RefusalReason } from "./sendRefusal.js";

/** Retry-After of an instance whose configuration is missing or not recent enough. */
const notReadyRetryAfterMs = 500;
/** Statuses that callers do not retry. */
const permanentStatuses: ReadonlySet<number> = new Set([401, 403, 404]);

/** The parts of a request that decide on its admission. */
export interface AdmissionInput {
  /** Host without port. */
  readonly host: string;
  /** Path with or without query string. */
  readonly path: string;
  readonly apiKey: string | undefined;
}

/** An admitted request, with the configuration that admitted it. */
export interface AdmittedRequest {
  readonly table: RouteTable;
  readonly route: Route;
  /** Undefined for requests without a client account. */
  readonly account: GatewayAccount | undefined;
}

/** The rejection of a request. */
export interface Refusal {
  readonly status: number;
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
}

/** Replaces a permanent rejection while the configuration may be out of date. */
export const staleConfigurationRefusal: Refusal = {
  status: 503,
  reason: "stale-configuration",
  retryAfterMs: notReadyRetryAfterMs,
};

/** Returns whether the request is rejected permanently, because its route does not exist or its key does not give access. */
export function isDenial(decision: AdmittedRequest | Refusal): boolean {
  return "reason" in decision && permanentStatuses.has(decision.status);
}

/**
 * Returns the route and the client account of a request, or the rejection.
 * @param table - The configuration in force; undefined until the first one has arrived.
 * @param areKeysFresh - Whether the configuration is recent enough to decide on API keys.
 */
export function admitCaller(
  input: AdmissionInput,
  table: RouteTable | undefined,
  areKeysFresh: () => boolean,
): AdmittedRequest | Refusal {
  if (table === undefined)
    return { status: 503, reason: "no-configuration", retryAfterMs: notReadyRetryAfterMs };
  const route = table.getRoute(input.host, input.path);
  if (route === undefined) return { status: 404, reason: "no-route" };
  const { apiKey } = input;
  if (!table.hasAccounts || (apiKey === undefined && route.isAnonymousAllowed)) {
    return { table, route, account: undefined };
  }
  if (!areKeysFresh()) {
    return staleConfigurationRefusal;
  }
  if (apiKey === undefined) return { status: 401, reason: "no-key" };
  const account = table.getAccount(apiKey);
  return account === undefined ? { status: 401, reason: "unknown-key" } : { table, route, account };
}
