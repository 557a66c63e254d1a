export * from "./fairShares.js";
export * from "./getReturnTime.js";
export * from "./ReturnLedger.js";
