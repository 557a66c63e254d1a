/** Fleet structures for tests. */
import type { FleetEngine, FleetStructure } from "../fleet/FleetStructure.js";

export const model = "assistant";
export const layerCount = 32;

/** Returns an engine of the test model. */
export function createEngine(
  name: string,
  layers: [number, number],
  structure: Partial<FleetEngine> = {},
): FleetEngine {
  return {
    name,
    availabilityZone: "a",
    accelerator: "large",
    model,
    version: "1",
    layers,
    stepMs: 2,
    prefillMsPerToken: 0.02,
    slots: 8,
    checksOrders: true,
    memoryLayers: 32,
    ...structure,
  };
}

/** Returns a fleet with one instance per name. A name may carry its zone, as in `e2@b`; the default is zone `a`. */
export function createStructure(
  instances: readonly string[],
  endpoints: FleetEngine[],
  serviceEndpoints: string[] = [],
): FleetStructure {
  const instanceStructures = instances.map((text) => {
    const [name = "", availabilityZone = "a"] = text.split("@");
    return { name, availabilityZone };
  });
  const service = {
    name: "billing",
    endpoints: serviceEndpoints,
    availabilityZone: "a",
    repeatable: false,
    serviceMs: 5,
  };
  return {
    availabilityZones: [
      ...new Set([...instanceStructures, ...endpoints].map((node) => node.availabilityZone)),
    ],
    instances: instanceStructures,
    endpoints,
    services: serviceEndpoints.length === 0 ? [] : [service],
    clientAccounts: [
      { name: "crews", priority: 1 },
      { name: "office", priority: 3, concurrency: 2 },
    ],
  };
}
