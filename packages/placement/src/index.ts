export * from "./PlacementEngine.js";
export * from "./getThroughput.js";
export * from "./planPlacement.js";
export * from "./HeldSpan.js";
export * from "./planGrowth.js";
export * from "./planLayerCopies.js";
export * from "./planRepair.js";
