export * from "./engine/index.js";
export * from "./request/CrashQuarantine.js";
export * from "./request/PipelineRequest.js";
export * from "./request/PipelineContext.js";
export * from "./request/PipelineRun.js";
export * from "./request/Stage.js";
export * from "./request/BoundaryHistory.js";
