export * from "./EndpointBackoff.js";
export * from "./EngineReport.js";
export * from "./EndpointDirectory.js";
export * from "./OutlierEjection.js";
export * from "./RetryBudget.js";
export * from "./SlowStart.js";
export * from "./WindowedCount.js";
export * from "./choosers/index.js";
