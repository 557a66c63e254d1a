/** Schemas of the configuration of a gateway: routes, services, client accounts and limits. */
import * as zod from "zod";

const name = zod.string().min(1);
const milliseconds = zod.number().nonnegative();

/** A service that a share of a route's requests goes to. */
export const routeTargetSchema = zod.object({ service: name, weight: zod.number().nonnegative() });
export type RouteTarget = zod.infer<typeof routeTargetSchema>;

/** Kinds of routes: requests that may run repeatedly, requests that may run only once, and requests answered by an event stream. */
export const routeKindSchema = zod.enum(["safe", "unsafe", "streaming"]);

export const routeSchema = zod.object({
  name,
  host: name,
  /** The prefix begins and ends with a slash. */
  pathPrefix: name,
  kind: routeKindSchema,
  targets: zod.array(routeTargetSchema).min(1),
  /** Maximum time from the arrival of a request to the end of its response. */
  timeoutMs: milliseconds,
  /** Latency objective for the first byte. */
  targetLatencyMs: milliseconds,
  /** Latency objective for the pause between two events of a stream. */
  targetPauseMs: milliseconds,
  /** Maximum number of endpoints that one request is sent to. */
  maxAttempts: zod.number().int().positive(),
  /** Priority 0 is the most urgent. */
  priority: zod.number().int().nonnegative(),
  isAnonymousAllowed: zod.boolean(),
  /** Whether a stream may be resumed at another endpoint after the last event that the caller has received. */
  isResumable: zod.boolean(),
});
export type Route = zod.infer<typeof routeSchema>;

/** A kind of accelerator. */
export const acceleratorKindSchema = zod.object({
  name,
  memoryMb: zod.number().positive(),
  /** Factor on the duration of token steps. */
  stepFactor: zod.number().positive(),
  /** Factor on the duration of prefill. */
  prefillFactor: zod.number().positive(),
});
export type AcceleratorKind = zod.infer<typeof acceleratorKindSchema>;

/** Performance profile of the engines of a service. Times apply to all layers on an accelerator of factor 1. */
export const engineProfileSchema = zod.object({
  /** Maximum number of requests that an engine runs at once, counted at the first engine of a chain. */
  slots: zod.number().int().positive(),
  layerCount: zod.number().int().positive(),
  layerMb: zod.number().positive(),
  /** Size of the KV cache of one token over all layers. */
  kvBytesPerToken: zod.number().positive(),
  /** Size of the activations of one token at a boundary between stages. */
  activationBytes: zod.number().nonnegative(),
  stepMs: milliseconds,
  stepMsPerSequence: milliseconds,
  stepMsPerKiloToken: milliseconds,
  prefillTokensPerSecond: zod.number().positive(),
  /** Token steps of each stream in one scheduling pass of an engine. */
  stepsPerPass: zod.number().positive(),
  /** Maximum number of prompt tokens that one scheduling pass processes. */
  promptTokensPerPass: zod.number().positive(),
  /** Time to load all layers. */
  loadMs: milliseconds,
  /** Number of loads that run concurrently at full speed. */
  concurrentLoads: zod.number().int().positive(),
  usualPromptTokens: zod.number().positive(),
  usualAnswerTokens: zod.number().positive(),
  kinds: zod.array(acceleratorKindSchema),
  modelNames: zod.array(name),
});
export type EngineProfile = zod.infer<typeof engineProfileSchema>;

export const serviceSchema = zod.object({
  name,
  healthPath: zod.string(),
  maxConnections: zod.number().int().positive(),
  /** Defined only if the endpoints are engines that load layer ranges. */
  engine: engineProfileSchema.optional(),
});
export type Service = zod.infer<typeof serviceSchema>;

/** Limits on the size of callers' requests, and on the time that callers may take or stay idle. */
export const callerLimitsSchema = zod.object({
  maxHeaderBytes: zod.number().int().positive(),
  maxBodyBytes: zod.number().int().positive(),
  headerTimeoutMs: milliseconds,
  idleTimeoutMs: milliseconds,
});
export type CallerLimits = zod.infer<typeof callerLimitsSchema>;

export const gatewayAccountSchema = zod.object({
  name,
  apiKeys: zod.array(zod.string()),
  /** Overrides the priority of the route. */
  priority: zod.number().int().nonnegative().optional(),
});
export type GatewayAccount = zod.infer<typeof gatewayAccountSchema>;

export const gatewayConfigurationSchema = zod.object({
  version: zod.number().int().nonnegative(),
  routes: zod.array(routeSchema),
  services: zod.array(serviceSchema),
  limits: callerLimitsSchema,
  /** Undefined if the deployment has no API keys at all. */
  accounts: zod.array(gatewayAccountSchema).optional(),
});
export type GatewayConfiguration = zod.infer<typeof gatewayConfigurationSchema>;
