export * from "./traceSchema.js";
export * from "./runTrace.js";
export * from "./checkTrace.js";
export * from "./applyFault.js";
