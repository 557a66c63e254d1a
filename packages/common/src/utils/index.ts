export * from "./clock.js";
export * from "./tasks.js";
export * from "./Deferred.js";
export * from "./KeyedCache.js";
export * from "./ids.js";
export * from "./hashing.js";
export * from "./RandomSource.js";
export * from "./statistics.js";
