/** What a model engine says of itself. Reports lag behind the truth. */
import * as zod from "zod";

export const layerRangeSchema = zod
  .tuple([zod.number().int().nonnegative(), zod.number().int().positive()])
  .refine(([first, end]) => first < end, "the first layer must come before the end");

/** Layers [first, past-the-last]. */
export type LayerRange = zod.infer<typeof layerRangeSchema>;

export const engineReportSchema = zod.object({
  name: zod.string(),
  accelerator: zod.string(),
  /** Memory for weights, in layers of the largest model the engine may hold. */
  memoryLayers: zod.number().int().positive(),
  model: zod.string(),
  version: zod.string(),
  /** Layers held now; absent while nothing is loaded. */
  layers: layerRangeSchema.optional(),
  /** Time of one batched step over the layers held. */
  stepMs: zod.number().positive(),
  prefillMsPerToken: zod.number().nonnegative(),
  /** Calls that one step takes at once. */
  slots: zod.number().int().positive(),
  /** Streams that had work or KV cache here when the report was made. */
  activeStreams: zod.number().int().nonnegative(),
  checksOrders: zod.boolean(),
  /** The highest fencing token of an order that the engine has seen. */
  fencingToken: zod.number().int(),
  state: zod.enum(["live", "loading", "leaving"]),
});

/** The report of one engine. */
export type EngineReport = zod.infer<typeof engineReportSchema>;

/** Tells whether two ranges are the same. */
export function isSameRange(a: LayerRange, b: LayerRange): boolean {
  return a[0] === b[0] && a[1] === b[1];
}
