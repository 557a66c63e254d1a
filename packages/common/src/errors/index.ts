export * from "./ShedtillerError.js";
export * from "./describeError.js";
