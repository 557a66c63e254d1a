/** Schema of the composition of a fleet. The setup line of a trace extends the same schema. */
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
  /** Rank of the priority class; 1 is the highest priority. */
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

/** Runtime options of a fleet. */
export interface FleetOptions {
  /** Delay before a change of the instance list becomes visible. */
  readonly listLagMs?: number;
  /** Whether all links go through relays, so that faults can be injected. Off in benchmarks, which measure speed. */
  readonly hasRelays?: boolean;
  /** Whether the instances write no log lines. */
  readonly isSilent?: boolean;
  readonly appendsPerSecond?: number;
  readonly appendMs?: number;
  readonly logRetentionMs?: number;
  readonly claimsHorizonMs?: number;
  readonly seed?: number;
  /** Age of the load that engines report. */
  readonly reportLagMs?: number;
  /** Settings by which instances detect an unresponsive engine. */
  readonly silence?: SilenceOptions;
  /** Listener port of the first instance; further instances use the next ports. The system chooses ports if undefined. */
  readonly firstCallerPort?: number;
  readonly firstOperatorPort?: number;
}
