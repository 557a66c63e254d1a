export * from "./EndpointBackoff.js";
export * from "./EngineReport.js";
export * from "./EndpointDirectory.js";
export * from "./OutlierGuard.js";
export * from "./RetryBudget.js";
export * from "./ReturnRamp.js";
export * from "./WindowedCount.js";
export * from "./choosers/index.js";
