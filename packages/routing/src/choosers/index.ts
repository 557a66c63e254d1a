/** Choosers of chains. The random, round-robin, least-reported and two-choices choosers serve as baselines in the benchmark. */
export * from "./ChainChooser.js";
export * from "./getReportedLoad.js";
export * from "./LeastReportedChooser.js";
export * from "./RandomChooser.js";
export * from "./RoundRobinChooser.js";
export * from "./TwoChoicesChooser.js";
export * from "./ExpectedTimeChooser.js";
