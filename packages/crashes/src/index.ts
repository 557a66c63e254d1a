export * from "./CompletedRequests.js";
export * from "./CrashReportBroadcast.js";
export * from "./CrashLedger.js";
export * from "./crashMessages.js";
export * from "./digestRequest.js";
export * from "./getTrialRank.js";
export * from "./probeConnection.js";
