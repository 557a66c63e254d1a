export * from "./LogService.js";
export * from "./InstanceList.js";
export * from "./LogFollower.js";
export * from "./http/HttpLogService.js";
export * from "./http/HttpInstanceList.js";
export * from "./http/classifyHttpError.js";
