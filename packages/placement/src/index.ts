export * from "./PlacementEngine.js";
export * from "./getThroughput.js";
export * from "./planPlacement.js";
