/** The configuration of a gateway: routes, services, client accounts and limits, as checked data. */
import * as zod from "zod";

const name = zod.string().min(1);
const milliseconds = zod.number().nonnegative();

/** A share of a route's requests that goes to a service. */
export const routeTargetSchema = zod.object({ service: name, weight: zod.number().nonnegative() });
export type RouteTarget = zod.infer<typeof routeTargetSchema>;

/** What may be done with a request: sent again freely, sent once, or answered as a stream of events. */
export const routeKindSchema = zod.enum(["safe", "unsafe", "streaming"]);

export const routeSchema = zod.object({
  name,
  host: name,
  /** Begins and ends with a slash. */
  pathPrefix: name,
  kind: routeKindSchema,
  targets: zod.array(routeTargetSchema).min(1),
  /** Longest time that a request may be held. */
  timeoutMs: milliseconds,
  /** Time to the first byte that counts as good. */
  targetLatencyMs: milliseconds,
  /** Longest pause between events of a stream that counts as good. */
  targetPauseMs: milliseconds,
  /** Most endpoints that one request may be sent to. */
  maxAttempts: zod.number().int().positive(),
  /** 0 is the most urgent. */
  priority: zod.number().int().nonnegative(),
  isAnonymousAllowed: zod.boolean(),
  /** Whether a stream may go on at another endpoint after the last event that the caller has. */
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

/** How the engines of a service compute; times hold for all layers on an accelerator of factor 1. */
export const engineProfileSchema = zod.object({
  /** Requests that an engine runs at once, counted at the first engine of a chain. */
  slots: zod.number().int().positive(),
  layerCount: zod.number().int().positive(),
  layerMb: zod.number().positive(),
  /** KV cache of one token over all layers. */
  kvBytesPerToken: zod.number().positive(),
  /** Activations of one token at a boundary between stages. */
  activationBytes: zod.number().nonnegative(),
  stepMs: milliseconds,
  stepMsPerSequence: milliseconds,
  stepMsPerKiloToken: milliseconds,
  prefillTokensPerSecond: zod.number().positive(),
  /** Time to load all layers. */
  /** Token steps that each stream gets in a pass over all that waits at an engine. */
  stepsPerPass: zod.number().positive(),
  /** Tokens of prompts that one pass reads at most. */
  promptTokensPerPass: zod.number().positive(),
  loadMs: milliseconds,
  /** Loads that run side by side at full speed. */
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
  /** Present where the endpoints are engines that hold layer ranges. */
  engine: engineProfileSchema.optional(),
});
export type Service = zod.infer<typeof serviceSchema>;

/** Bounds on what a caller may send and how long it may take or rest. */
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
  /** Goes before the priority of the route. */
  priority: zod.number().int().nonnegative().optional(),
});
export type GatewayAccount = zod.infer<typeof gatewayAccountSchema>;

export const gatewayConfigurationSchema = zod.object({
  version: zod.number().int().nonnegative(),
  routes: zod.array(routeSchema),
  services: zod.array(serviceSchema),
  limits: callerLimitsSchema,
  /** Undefined where the deployment has no keys at all. */
  accounts: zod.array(gatewayAccountSchema).optional(),
});
export type GatewayConfiguration = zod.infer<typeof gatewayConfigurationSchema>;
