import type { EndpointTable } from "../discovery/EndpointTable.js";
import { PermitForecast } from "../requests/PermitForecast.js";
import { RequestDemand } from "../requests/RequestDemand.js";

/** Dependencies of forwarders that concern permits. */
export interface PermitDependencies {
  readonly demand: RequestDemand;
  readonly forecast: PermitForecast;
}

/** Creates the permit dependencies of an instance without peers. */
export function createPermitDependencies(endpoints: EndpointTable): PermitDependencies {
  const demand = new RequestDemand();
  const forecast = new PermitForecast({ endpoints, demand, getInstanceCount: () => 1 });
  return { demand, forecast };
}
