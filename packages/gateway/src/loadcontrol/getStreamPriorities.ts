/** The priorities that streams of a service can have by the configuration. */
import type { RouteTable } from "../configuration/RouteTable.js";
import type { GatewayAccount, Route } from "../configuration/gatewayConfiguration.js";

/**
 * Returns the services with an engine profile whose streams have two priorities or more, with their priorities from the most urgent one on.
 * With one priority only, there is nothing to decide by urgency.
 */
export function getStreamPriorities(table: RouteTable): ReadonlyMap<string, readonly number[]> {
  const { routes, services, accounts } = table.configuration;
  const streams = routes.filter(({ kind }) => kind === "streaming");
  const all = services
    .filter(({ engine }) => engine !== undefined)
    .map(({ name }) => {
      const own = streams.filter(({ targets }) => targets.some(({ service }) => service === name));
      const priorities = new Set(own.flatMap((route) => getPriorities(route, accounts)));
      return [name, [...priorities].sort((a, b) => a - b)] as const;
    });
  return new Map(all.filter(([, priorities]) => priorities.length > 1));
}

function getPriorities(route: Route, accounts: readonly GatewayAccount[] | undefined): number[] {
  const ofAccounts = (accounts ?? []).map(({ priority }) => priority ?? route.priority);
  return accounts === undefined || route.isAnonymousAllowed ? [...ofAccounts, route.priority] : ofAccounts;
}
