export * from "./sharedLimit.js";
export * from "./RateMeter.js";
export * from "./refusals.js";
export * from "./AccountLimits.js";
export * from "./Admission.js";
export * from "./AdmissionQueue.js";
export * from "./ArrivalOrderAdmission.js";
