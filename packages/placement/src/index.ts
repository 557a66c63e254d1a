export * from "./PlacementEngine.js";
export * from "./getThroughput.js";
export * from "./planPlacement.js";
export * from "./ZoneArrangement.js";
export * from "./planLayerCopies.js";
export * from "./BalanceSearch.js";
export * from "./isCovered.js";
export * from "./burst.js";
