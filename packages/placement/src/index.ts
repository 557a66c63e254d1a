export * from "./PlacementEngine.js";
export * from "./getThroughput.js";
export * from "./planPlacement.js";
export * from "./planLayerCopies.js";
export * from "./LayerRoom.js";
export * from "./BalanceSearch.js";
