/** Profile and zones of a fleet of hundreds of instances, for simulations of load. */
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";

/** 80 layers of 1,750 MB, and three kinds of accelerators, the slowest of which is seven times slower than the fastest. */
export const largeProfile: EngineProfile = {
  slots: 134,
  layerCount: 80,
  layerMb: 1_750,
  kvBytesPerToken: 1_080_358,
  activationBytes: 65_767,
  stepMs: 1.02,
  stepMsPerSequence: 0.0084,
  stepMsPerKiloToken: 0.0112,
  prefillTokensPerSecond: 128_000,
  stepsPerPass: 6,
  promptTokensPerPass: 512,
  loadMs: 14_000,
  concurrentLoads: 31,
  usualPromptTokens: 740,
  usualAnswerTokens: 210,
  kinds: [
    { name: "a100", memoryMb: 72_000, stepFactor: 2.4, prefillFactor: 3.2 },
    { name: "l40s", memoryMb: 43_200, stepFactor: 5.6, prefillFactor: 2.7 },
    { name: "l4", memoryMb: 21_600, stepFactor: 16, prefillFactor: 8.2 },
  ],
  modelNames: ["m"],
};

/** Zones with their number of engines per accelerator kind: one with many medium accelerators, one with many small ones. */
export const largeZones = [
  { name: "medium", engines: { a100: 2, l40s: 18, l4: 15 }, instances: 35, requestsPerSecond: 77 },
  { name: "small", engines: { a100: 4, l40s: 11, l4: 28 }, instances: 42, requestsPerSecond: 68 },
] as const;
