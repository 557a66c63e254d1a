/** What a fleet of entry instances and stand-ins is made of. The setup line of a trace has the same form. */
import type { SilenceOptions } from "@shedtiller/pipeline";
import { layerRangeSchema } from "@shedtiller/routing";
import * as zod from "zod";

const name = zod.string().min(1);

export const fleetEngineSchema = zod.strictObject({
  name,
  availabilityZone: name,
  accelerator: zod.string(),
  model: name,
  version: zod.string(),
  layers: layerRangeSchema,
  stepMs: zod.number().positive(),
  prefillMsPerToken: zod.number().nonnegative(),
  slots: zod.number().int().positive(),
  checksOrders: zod.boolean(),
  memoryLayers: zod.number().int().positive().optional(),
});

export const fleetServiceSchema = zod.strictObject({
  name,
  endpoints: zod.array(name).min(1),
  availabilityZone: name,
  repeatable: zod.boolean(),
  serviceMs: zod.number().nonnegative(),
});

export const fleetAccountSchema = zod.strictObject({
  name,
  /** 1 is the highest. */
  priority: zod.number().int().positive(),
  concurrency: zod.number().int().positive().optional(),
  tokensPerMinute: zod.number().positive().optional(),
});

export const fleetStructureSchema = zod.strictObject({
  availabilityZones: zod.array(name).min(1),
  instances: zod.array(zod.strictObject({ name, availabilityZone: name })).min(1),
  endpoints: zod.array(fleetEngineSchema),
  services: zod.array(fleetServiceSchema),
  clientAccounts: zod.array(fleetAccountSchema).min(1),
});

export type FleetEngine = zod.infer<typeof fleetEngineSchema>;
export type FleetStructure = zod.infer<typeof fleetStructureSchema>;

/** How a fleet runs beside its structure. */
export interface FleetOptions {
  /** Lag of the instance list. */
  readonly listLagMs?: number;
  /** Put relays between everything, so that links can be cut; off where only speed counts. */
  readonly hasRelays?: boolean;
  readonly isSilent?: boolean;
  readonly appendsPerSecond?: number;
  readonly appendMs?: number;
  readonly logRetentionMs?: number;
  readonly claimsHorizonMs?: number;
  readonly seed?: number;
  /** How old the loads are that engines report. */
  readonly reportLagMs?: number;
  /** How instances tell silence. */
  readonly silence?: SilenceOptions;
  /** Ports of the first instance's listeners; the others follow. Picked by the system unless given. */
  readonly firstCallerPort?: number;
  readonly firstOperatorPort?: number;
}
