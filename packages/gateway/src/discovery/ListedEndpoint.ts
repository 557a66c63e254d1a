/** An endpoint as service discovery lists it. */
import * as zod from "zod";

/** A contiguous range of layers, `end` exclusive. */
export const layerSpanSchema = zod.object({
  start: zod.number().int().nonnegative(),
  end: zod.number().int().nonnegative(),
});
export type LayerSpan = zod.infer<typeof layerSpanSchema>;

export const listedEndpointSchema = zod.object({
  /** Names the endpoint; a process that starts again may have the same. */
  id: zod.string().min(1),
  service: zod.string(),
  /** IP and port. */
  address: zod.string(),
  availabilityZone: zod.string(),
  slots: zod.number().int().nonnegative(),
  isDraining: zod.boolean(),
  /** Name of the accelerator kind, for engines. */
  kind: zod.string().optional(),
  /** Layers held, for engines; empty while none are. */
  layers: zod.array(layerSpanSchema),
  /** Names of the models held. */
  modelNames: zod.array(zod.string()),
  /**
   * Unix milliseconds of the start of its process: an endpoint that starts again under its id holds and knows nothing of before.
   * Compared with other starts of the same id only. Undefined where endpoints don't tell it.
   */
  bornAtMs: zod.number().int().optional(),
});
export type ListedEndpoint = zod.infer<typeof listedEndpointSchema>;
