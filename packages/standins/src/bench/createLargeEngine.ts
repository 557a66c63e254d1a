/** The engine that benches with one kind of accelerator use. */
import type { FleetEngine } from "../fleet/FleetStructure.js";

/** Name of the benches' model. */
export const model = "assistant";

/** Makes one engine of the benches' model. */
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
