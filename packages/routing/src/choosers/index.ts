export * from "./ChainChooser.js";
export * from "./baselines.js";
export * from "./ExpectedTimeChooser.js";
