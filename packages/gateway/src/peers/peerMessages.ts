/** Topics and schemas of the messages between instances. */
import { clockReadingSchema } from "@shedtiller/membership";
import * as zod from "zod";
import { configurationDeltaSchema } from "../configuration/configurationDelta.js";
import { gatewayConfigurationSchema } from "../configuration/gatewayConfiguration.js";
import { layerSpanSchema, listedEndpointSchema, missingEndpointSchema } from "../discovery/ListedEndpoint.js";
import { evidenceSchema } from "../discovery/SuspicionEvidence.js";
import { registeredInstanceSchema } from "./PeerRegistry.js";

/** Topics of the messages. */
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
  draining: "draining",
  newVersion: "new-version",
  configuration: "configuration",
  wholeConfiguration: "whole-configuration",
  endpoints: "endpoints",
  instances: "instances",
  tunnelOpen: "tunnel-open",
  tunnelEnd: "tunnel-end",
  tunnelsClosing: "tunnels-closing",
  clock: "clock",
} as const;

/** Requests in flight and reserved token-layers, by the life id of the endpoint. Endpoints without requests are left out. */
export const loadSchema = zod.record(zod.string(), zod.tuple([zod.number(), zod.number()]));

/** The total load of the instances of a zone. */
export const zoneLoadSchema = zod.object({
  availabilityZone: zod.string(),
  load: loadSchema,
  /** Name of the collector of the zone. */
  collector: zod.string().optional(),
});

/** Rate limits that endpoints name; null if an endpoint no longer names one. */
export const endpointLimitsSchema = zod.array(
  zod.object({
    lifeId: zod.string(),
    perSecond: zod.number().nonnegative().nullable(),
    ageMs: zod.number().nonnegative(),
    /** When the message was sent, by the sender's clock; omitted by instances of earlier versions. */
    sent: clockReadingSchema.optional(),
  }),
);
export type LimitMessage = zod.infer<typeof endpointLimitsSchema>[number];

/** Life ids of endpoints that have announced that they drain. */
export const drainingSchema = zod.array(zod.string());

/** The slowness that an engine reports. */
export const slownessSchema = zod.object({ lifeId: zod.string(), slowness: zod.number() });

/** An endpoint that is suspected. */
export const suspicionSchema = zod.object({
  lifeId: zod.string(),
  /** Omitted by instances of earlier versions. */
  evidence: evidenceSchema.default("unanswered"),
  /** Time since the beginning of the failed attempt; omitted by instances of earlier versions. */
  ageMs: zod.number().nonnegative().default(0),
});

/** The life id of an endpoint that rejected a request for lack of capacity. */
export const endpointNoticeSchema = zod.object({ lifeId: zod.string() });

/** The layers that an engine reports as loaded, where the list shows others. */
export const loadedLayersSchema = zod.object({
  lifeId: zod.string(),
  layers: zod.array(layerSpanSchema),
  /** The layers in the list of the sender; omitted by instances of earlier versions. */
  replaced: zod.array(layerSpanSchema).optional(),
});

/** An endpoint whose process has restarted. */
export const restartSchema = zod.object({ endpointId: zod.string(), bornAtMs: zod.number().int() });

/** The version of the configuration that is in force at the sender. */
export const versionSchema = zod.object({ version: zod.number() });

/** A request for a configuration: the version in force at the sender, and whether it requests a whole one if there is no delta. */
export const configurationRequestSchema = versionSchema.extend({ wantsWhole: zod.boolean() });

/** The response to a request for a configuration. */
export const configurationResponseSchema = zod.object({
  /** The version in force at the responder. */
  version: zod.number(),
  /** Time since the responder's version was last known to be the newest. */
  proofAgeMs: zod.number().nonnegative(),
  /** The store's offset that follows this version; undefined before the responder's first read. */
  nextOffset: zod.number().optional(),
  /** Changes since the requester's version, if the responder has that version and the changes are small. */
  delta: configurationDeltaSchema.optional(),
  /** Whether the responder sends the whole configuration next. */
  isWholeComing: zod.boolean(),
});
export type ConfigurationResponse = zod.infer<typeof configurationResponseSchema>;

/** A whole configuration, sent as a notice. */
export const wholeConfigurationSchema = zod.object({
  configuration: gatewayConfigurationSchema,
  /** The store's offset that follows this configuration; undefined before the sender's first read. */
  nextOffset: zod.number().optional(),
});

/** A request for the list of endpoints. */
export const endpointsRequestSchema = zod.object({
  /** The store's offset that follows what the requester has read; undefined before its first read. */
  nextOffset: zod.number().optional(),
  /** Whether the requester reads the missing endpoints of the response; omitted by instances of earlier versions. */
  readsMissing: zod.boolean().default(false),
});

/** The response to a request for the list of endpoints. */
export const endpointsResponseSchema = zod.object({
  /** Time since the responder's list was last known to be complete. */
  proofAgeMs: zod.number().nonnegative(),
  /** The store's offset that follows what the responder has read. */
  nextOffset: zod.number(),
  /**
   * The list of endpoints at `nextOffset`, left out if the requester has the same one: a list of 195 endpoints takes 40 KB, and all instances request it
   * while the store is unavailable.
   */
  endpoints: zod.array(listedEndpointSchema).optional(),
  /**
   * Endpoints that the responder keeps for a grace period although the list no longer contains them. Omitted by instances of earlier
   * versions, whose lists contain them.
   */
  missing: zod.array(missingEndpointSchema).optional(),
});

/** The instances that the responder has in its directory. */
export const instancesSchema = zod.array(registeredInstanceSchema);
