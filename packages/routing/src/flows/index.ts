export * from "./approachShares.js";
export * from "./computeFlows.js";
export * from "./DecayingSum.js";
