/** Engines of benchmarks with a single kind of accelerator. */
import type { FleetEngine } from "../fleet/FleetStructure.js";

/** Name of the model that the benchmarks use. */
export const model = "assistant";

/** Returns an engine with the accelerator "large" for the benchmark model. */
export function createLargeEngine(
  name: string,
  availabilityZone: string,
  layers: [number, number],
  speed: Pick<FleetEngine, "stepMs" | "prefillMsPerToken" | "slots">,
): FleetEngine {
  return {
    name,
    availabilityZone,
    accelerator: "large",
    model,
    version: "1",
    layers,
    ...speed,
    checksOrders: true,
  };
}
