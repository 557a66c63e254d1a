export * from "./traceSchema.js";
export * from "./TraceRun.js";
export * from "./checkTrace.js";
export * from "./applyFault.js";
