/** The entry of an endpoint in service discovery. */
import * as zod from "zod";

/** A contiguous range of layers; `end` is exclusive. */
export const layerSpanSchema = zod.object({
  start: zod.number().int().nonnegative(),
  end: zod.number().int().nonnegative(),
});
export type LayerSpan = zod.infer<typeof layerSpanSchema>;

export const listedEndpointSchema = zod.object({
  /** Identifies the endpoint; a restarted process may reuse the id. */
  id: zod.string().min(1),
  service: zod.string(),
  /** IP address and port. */
  address: zod.string(),
  availabilityZone: zod.string(),
  slots: zod.number().int().nonnegative(),
  isDraining: zod.boolean(),
  /** Name of the accelerator kind, for engines. */
  kind: zod.string().optional(),
  /** Loaded layers, for engines; empty while none are loaded. */
  layers: zod.array(layerSpanSchema),
  /** Names of the loaded models. */
  modelNames: zod.array(zod.string()),
  /**
   * Start of the process in Unix milliseconds: a restarted endpoint has none of the layers and state of its previous life. Compared only
   * with other starts under the same id. Undefined if endpoints don't report their start.
   */
  bornAtMs: zod.number().int().optional(),
});
export type ListedEndpoint = zod.infer<typeof listedEndpointSchema>;

/** An endpoint whose entry is missing, and that is kept for a grace period in which it gets no new work. */
export const missingEndpointSchema = zod.object({
  id: zod.string().min(1),
  /** Time until the endpoint counts as gone unless its entry reappears. */
  leftMs: zod.number().nonnegative(),
});
export type MissingEndpoint = zod.infer<typeof missingEndpointSchema>;
