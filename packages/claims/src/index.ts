export * from "./claimRecords.js";
export * from "./ClaimProjection.js";
export * from "./ClaimBatcher.js";
export * from "./AtMostOnceExecutor.js";
export * from "./ClaimRefusedError.js";
export * from "./OutcomeUnknownError.js";
export * from "./service/ServiceCaller.js";
export * from "./service/ServiceError.js";
