/** Structure of the fleet that `npm start` runs: three availability zones with mixed accelerators. */
import type { FleetEngine, FleetStructure } from "./FleetStructure.js";

const model = "assistant";
const zones = ["east-plant", "west-plant", "harbor-depot"];

function createEngine(
  name: string,
  availabilityZone: string,
  kind: Partial<FleetEngine> & Pick<FleetEngine, "layers">,
): FleetEngine {
  return {
    name,
    availabilityZone,
    accelerator: "large",
    model,
    version: "1",
    stepMs: 4,
    prefillMsPerToken: 0.2,
    slots: 16,
    checksOrders: true,
    memoryLayers: 32,
    ...kind,
  };
}

/** Returns the demo structure: each zone covers all layers, and `harbor-depot` has a spare engine for layers 16 to 32. */
export function createDemoStructure(): FleetStructure {
  const small = {
    accelerator: "small",
    stepMs: 6,
    prefillMsPerToken: 0.4,
    slots: 8,
    checksOrders: false,
    memoryLayers: 24,
  };
  return {
    availabilityZones: zones,
    instances: zones.map((availabilityZone, index) => ({ name: `e${index + 1}`, availabilityZone })),
    endpoints: [
      createEngine("g1", "east-plant", { layers: [0, 16] }),
      createEngine("g2", "east-plant", { layers: [16, 32] }),
      createEngine("g3", "west-plant", { layers: [0, 16] }),
      createEngine("g4", "west-plant", { layers: [16, 32], ...small }),
      createEngine("g5", "harbor-depot", { layers: [0, 8], ...small }),
      createEngine("g6", "harbor-depot", { layers: [8, 32], stepMs: 6 }),
      createEngine("g7", "harbor-depot", { layers: [16, 32], ...small }),
    ],
    services: [
      {
        name: "billing",
        endpoints: ["b1", "b2"],
        availabilityZone: "east-plant",
        repeatable: false,
        serviceMs: 5,
      },
    ],
    clientAccounts: [
      { name: "crews", priority: 1 },
      { name: "dispatch", priority: 2 },
      { name: "office", priority: 3, concurrency: 64 },
    ],
  };
}
