export * from "./approachShares.js";
export * from "./computeFlows.js";
