/** Parts that several tests of the gateway share. */
import type { EngineProfile, GatewayConfiguration, Route } from "../configuration/gatewayConfiguration.js";
import { Endpoint } from "../discovery/Endpoint.js";
import type { ListedEndpoint } from "../discovery/ListedEndpoint.js";

export const limits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** A small model: 4 layers of 10 MB, one MB of KV cache a token over all layers. */
export const profile: EngineProfile = {
  slots: 8,
  layerCount: 4,
  layerMb: 10,
  kvBytesPerToken: 1e6,
  activationBytes: 1_000,
  stepMs: 1,
  stepMsPerSequence: 0.01,
  stepMsPerKiloToken: 0.01,
  prefillTokensPerSecond: 100_000,
  stepsPerPass: 1,
  promptTokensPerPass: 512,
  loadMs: 1_000,
  concurrentLoads: 5,
  usualPromptTokens: 8,
  usualAnswerTokens: 2,
  kinds: [
    { name: "fast", memoryMb: 100, stepFactor: 1, prefillFactor: 1 },
    { name: "slow", memoryMb: 100, stepFactor: 10, prefillFactor: 4 },
  ],
  modelNames: ["m"],
};

export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "notes.example",
    pathPrefix: "/a/",
    kind: "safe",
    targets: [{ service: "notes", weight: 1 }],
    timeoutMs: 1_000,
    targetLatencyMs: 300,
    targetPauseMs: 200,
    maxAttempts: 2,
    priority: 1,
    isAnonymousAllowed: false,
    isResumable: false,
    ...changes,
  };
}

export function createConfiguration(
  version: number,
  routes: Route[] = [createRoute()],
): GatewayConfiguration {
  return {
    version,
    routes,
    services: [],
    limits,
    accounts: [{ name: "farm", apiKeys: ["k1"], priority: 2 }],
  };
}

export function createListed(id: string, changes: Partial<ListedEndpoint> = {}): ListedEndpoint {
  return {
    id,
    service: "engines",
    address: `10.0.0.1:${id.length}${id.charCodeAt(0)}`,
    availabilityZone: "east",
    slots: 8,
    isDraining: false,
    kind: "fast",
    layers: [],
    modelNames: ["m"],
    ...changes,
  };
}

/** An engine that holds the layers from `start` to `end`. */
export function createEngine(
  id: string,
  start: number,
  end: number,
  changes: Partial<ListedEndpoint> = {},
): Endpoint {
  return new Endpoint(createListed(id, { layers: [{ start, end }], address: `${id}:1`, ...changes }));
}
