/** The messages between instances: their topics and forms. */
import * as zod from "zod";
import { configurationDeltaSchema } from "../configuration/configurationDelta.js";
import { gatewayConfigurationSchema } from "../configuration/gatewayConfiguration.js";
import { layerSpanSchema, listedEndpointSchema } from "../discovery/ListedEndpoint.js";
import { registeredInstanceSchema } from "./PeerRegistry.js";

/** Names of the kinds of messages. */
export const peerTopics = {
  load: "load",
  collectedLoad: "collected-load",
  zoneLoad: "zone-load",
  configurationRead: "configuration-read",
  endpointsRead: "endpoints-read",
  suspect: "suspect",
  full: "full",
  slowness: "slowness",
  restarted: "restarted",
  layers: "layers",
  limits: "limits",
  permits: "permits",
  leaving: "leaving",
  newVersion: "new-version",
  configuration: "configuration",
  wholeConfiguration: "whole-configuration",
  endpoints: "endpoints",
  instances: "instances",
} as const;

/** Requests in hand and reserved token-layers, by the life of the endpoint; those without any are left out. */
export const loadSchema = zod.record(zod.string(), zod.tuple([zod.number(), zod.number()]));

/** The load that the instances of a zone have together. */
export const zoneLoadSchema = zod.object({
  availabilityZone: zod.string(),
  load: loadSchema,
  /** Name of the instance that collects it. */
  collector: zod.string().optional(),
});

/** Limits that endpoints named; null where an endpoint no longer names one. */
export const limitsSchema = zod.array(
  zod.object({
    lifeId: zod.string(),
    perSecond: zod.number().nonnegative().nullable(),
    ageMs: zod.number().nonnegative(),
  }),
);
export type LimitMessage = zod.infer<typeof limitsSchema>[number];

/** Lives of endpoints that said that they leave. */
export const leavingSchema = zod.array(zod.string());

/** How slow an engine says that it is. */
export const slownessSchema = zod.object({ lifeId: zod.string(), slowness: zod.number() });

/** An endpoint, in the life of its process that there is evidence against, or that refused for want of room. */
export const endpointSchema = zod.object({ lifeId: zod.string() });

/** The layers that an engine says that it holds, where the list has others. */
export const heldLayersSchema = zod.object({ lifeId: zod.string(), layers: zod.array(layerSpanSchema) });

/** An endpoint whose process has started again. */
export const restartSchema = zod.object({ endpointId: zod.string(), bornAtMs: zod.number().int() });

/** A version in force: that of the asker, or of the one that tells. */
export const versionSchema = zod.object({ version: zod.number() });

/** What the asker has in force, and whether it wants a whole configuration where changes are not known or too large. */
export const configurationQuestionSchema = versionSchema.extend({ wantsWhole: zod.boolean() });

/** What the answerer has in force. */
export const configurationAnswerSchema = zod.object({
  version: zod.number(),
  /** How old the answerer's own proof is that nothing newer exists. */
  proofAgeMs: zod.number().nonnegative(),
  /** Where the store's history goes on after it; undefined before the answerer's first read. */
  nextOffset: zod.number().optional(),
  /** What changed since the asker's version, where that is known and little. */
  delta: configurationDeltaSchema.optional(),
  /** Whether the answerer sends the whole configuration next. */
  isWholeComing: zod.boolean(),
});
export type ConfigurationAnswer = zod.infer<typeof configurationAnswerSchema>;

/** A whole configuration, sent without waiting for an answer. */
export const wholeConfigurationSchema = zod.object({
  configuration: gatewayConfigurationSchema,
  /** Where the store's history goes on after it; undefined before the sender's first read. */
  nextOffset: zod.number().optional(),
});

/** Where the store's list goes on after what the asker has read; undefined before its first read. */
export const listQuestionSchema = zod.object({ nextOffset: zod.number().optional() });

/** The list of endpoints as the answerer has it. */
export const endpointsAnswerSchema = zod.object({
  proofAgeMs: zod.number().nonnegative(),
  /** Where the store's list goes on after what the answerer has read. */
  nextOffset: zod.number(),
  /** Left out where the asker has the same: the list of 195 endpoints takes 40 KB, and is asked for by all while the store is away. */
  endpoints: zod.array(listedEndpointSchema).optional(),
});

/** The instances that the sender knows. */
export const instancesSchema = zod.array(registeredInstanceSchema);
