export * from "./HybridClock.js";
export * from "./Timeline.js";
export * from "./renderTimeline.js";
