import * as zod from "zod";

export const layerRangeSchema = zod
  .tuple([zod.number().int().nonnegative(), zod.number().int().positive()])
  .refine(([first, end]) => first < end, "the first layer must come before the end");

/** A layer range: the index of the first layer, and the index after the last layer. */
export type LayerRange = zod.infer<typeof layerRangeSchema>;

export const engineReportSchema = zod.object({
  name: zod.string(),
  accelerator: zod.string(),
  /** Memory for weights, in layers of the largest model that the engine may load. */
  memoryLayers: zod.number().int().positive(),
  model: zod.string(),
  version: zod.string(),
  /** Loaded layers; absent while nothing is loaded. */
  layers: layerRangeSchema.optional(),
  /** Time of one batched step over the loaded layers. */
  stepMs: zod.number().positive(),
  prefillMsPerToken: zod.number().nonnegative(),
  /** Maximum number of streams in one batched step. */
  slots: zod.number().int().positive(),
  /** Streams that had work or KV cache at the engine when the report was made. */
  activeStreams: zod.number().int().nonnegative(),
  checksOrders: zod.boolean(),
  /** The highest fencing token of an order that the engine has received. */
  fencingToken: zod.number().int(),
  state: zod.enum(["live", "loading", "leaving"]),
});

/** The state that a model engine reports about itself, which may be older than its actual state. */
export type EngineReport = zod.infer<typeof engineReportSchema>;

/** Returns whether two ranges are the same. */
export function isSameRange(a: LayerRange, b: LayerRange): boolean {
  return a[0] === b[0] && a[1] === b[1];
}
