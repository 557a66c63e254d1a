import type { ExecutionContext } from "ava";
import type { Route } from "../../configuration/gatewayConfiguration.js";
import { setUp } from "./endpointHandlers.js";
import type { GatewayFixture } from "./GatewayFixture.js";
import { HeldEndpoint } from "./HeldEndpoint.js";
import { RawCaller } from "./RawCaller.js";

/** A gateway with one endpoint, and a caller on one connection. */
export interface CallerCase {
  readonly fixture: GatewayFixture;
  readonly endpoint: HeldEndpoint;
  readonly caller: RawCaller;
}

/** Starts a gateway with one endpoint that has all layers, and connects a caller. */
export async function setUpCaller(t: ExecutionContext, route: Partial<Route>): Promise<CallerCase> {
  const fixture = await setUp(t, route);
  const endpoint = new HeldEndpoint();
  await fixture.list([endpoint.handler], { layers: [{ start: 0, end: 4 }] });
  const caller = new RawCaller(fixture.port);
  t.teardown(() => caller.close());
  return { fixture, endpoint, caller };
}
