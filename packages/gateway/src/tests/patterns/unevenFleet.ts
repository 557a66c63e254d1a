/** Profiles and zones of two fleets whose accelerators differ much in speed and memory, at the rates of their callers. */
import type { EngineProfile } from "../../configuration/gatewayConfiguration.js";

/** Small memories, so that chains are long: 13 engines for a stream. */
const longChainProfile: EngineProfile = {
  slots: 134,
  layerCount: 80,
  layerMb: 1_750,
  kvBytesPerToken: 563_100,
  activationBytes: 28_227,
  stepMs: 0.85,
  stepMsPerSequence: 0.00365,
  stepMsPerKiloToken: 0.00489,
  prefillTokensPerSecond: 294_000,
  stepsPerPass: 3,
  promptTokensPerPass: 512,
  loadMs: 14_000,
  concurrentLoads: 31,
  usualPromptTokens: 773,
  usualAnswerTokens: 178,
  kinds: [
    { name: "h100", memoryMb: 72_000, stepFactor: 1.4, prefillFactor: 1 },
    { name: "a100s", memoryMb: 36_000, stepFactor: 3.1, prefillFactor: 3.2 },
    { name: "l4", memoryMb: 21_600, stepFactor: 16, prefillFactor: 8.2 },
    { name: "t4", memoryMb: 14_400, stepFactor: 15, prefillFactor: 15 },
  ],
  modelNames: ["m"],
};

const shortChainProfile: EngineProfile = {
  ...longChainProfile,
  kvBytesPerToken: 845_400,
  activationBytes: 42_270,
  stepMs: 1.02,
  stepMsPerSequence: 0.00658,
  stepMsPerKiloToken: 0.00881,
  prefillTokensPerSecond: 164_000,
  stepsPerPass: 5,
  usualPromptTokens: 776,
  usualAnswerTokens: 220,
  kinds: [
    { name: "a100", memoryMb: 72_000, stepFactor: 2.4, prefillFactor: 3.2 },
    { name: "l40s", memoryMb: 43_200, stepFactor: 5.6, prefillFactor: 2.7 },
    { name: "l4", memoryMb: 21_600, stepFactor: 16, prefillFactor: 8.2 },
  ],
};

/** A zone of an uneven fleet. */
export interface UnevenZone {
  readonly name: string;
  readonly profile: EngineProfile;
  readonly engines: Readonly<Record<string, number>>;
  readonly instances: number;
  readonly requestsPerSecond: number;
}

export const unevenZones: readonly UnevenZone[] = [
  {
    name: "four fast engines and 29 small ones",
    profile: longChainProfile,
    engines: { a100s: 4, l4: 11, t4: 18 },
    instances: 28,
    requestsPerSecond: 50.8,
  },
  {
    name: "one very fast engine and many of the smallest",
    profile: longChainProfile,
    engines: { h100: 1, a100s: 2, l4: 13, t4: 17 },
    instances: 19,
    requestsPerSecond: 57.7,
  },
  {
    name: "one very fast engine and many small ones",
    profile: longChainProfile,
    engines: { h100: 1, a100s: 2, l4: 20, t4: 9 },
    instances: 21,
    requestsPerSecond: 46.1,
  },
  {
    name: "many slow engines",
    profile: shortChainProfile,
    engines: { a100: 2, l40s: 9, l4: 22 },
    instances: 11,
    requestsPerSecond: 52,
  },
  {
    name: "many medium engines",
    profile: shortChainProfile,
    engines: { a100: 2, l40s: 15, l4: 12 },
    instances: 11,
    requestsPerSecond: 51.6,
  },
  {
    name: "few engines, four of them fast",
    profile: shortChainProfile,
    engines: { a100: 4, l40s: 6, l4: 14 },
    instances: 11,
    requestsPerSecond: 66.3,
  },
];
