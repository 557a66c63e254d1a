export * as connections from "./connections/index.js";
export * as errors from "./errors/index.js";
export * as results from "./results.js";
export * as utils from "./utils/index.js";
export type { ExecutionStatus } from "./errors/index.js";
