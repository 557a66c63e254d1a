/** Frames between an entry instance and a model engine: MessagePack maps over one WebSocket. See docs/INTERFACES.md. */
import { layerRangeSchema } from "@shedtiller/routing";
import * as zod from "zod";

const bytes = zod.custom<Uint8Array>((value) => value instanceof Uint8Array, "expected bytes");
const wholeNumber = zod.number().int().nonnegative();

/** What names one stage of one attempt of one request. */
const stageKeyShape = { requestId: zod.string(), attempt: wholeNumber, firstLayer: wholeNumber };

/** Work on positions [position, position + count) of a stage. Stage 0 gets tokens, later ones activations. */
export const applyFrameSchema = zod.object({
  kind: zod.literal("apply"),
  ...stageKeyShape,
  layers: layerRangeSchema,
  position: wholeNumber,
  count: zod.number().int().positive(),
  tokens: zod.array(wholeNumber).optional(),
  activations: bytes.optional(),
  /** 1 is the highest. */
  priority: zod.number().int().positive(),
  /** What is left until nobody wants the answer any more. */
  remainingMs: zod.number(),
});

export const releaseFrameSchema = zod.object({ kind: zod.literal("release"), ...stageKeyShape });
export const probeFrameSchema = zod.object({ kind: zod.literal("probe"), ...stageKeyShape });
export const exportFrameSchema = zod.object({ kind: zod.literal("export"), ...stageKeyShape });
export const importFrameSchema = zod.object({
  kind: zod.literal("import"),
  ...stageKeyShape,
  layers: layerRangeSchema,
  position: wholeNumber,
  cache: bytes,
});

export const toEngineSchema = zod.discriminatedUnion("kind", [
  applyFrameSchema,
  releaseFrameSchema,
  probeFrameSchema,
  exportFrameSchema,
  importFrameSchema,
]);

/** The outcome of an `apply`: activations, or from the last stage the next token. */
export const appliedFrameSchema = zod.object({
  kind: zod.literal("applied"),
  ...stageKeyShape,
  position: wholeNumber,
  count: zod.number().int().positive(),
  activations: bytes.optional(),
  token: wholeNumber.optional(),
  /** The model ended its answer with this token. */
  isEnd: zod.boolean().optional(),
});

/** Where a stage stands, and its last outcome in case the reply was lost. */
export const stageStatusFrameSchema = zod.object({
  kind: zod.literal("standing"),
  ...stageKeyShape,
  /** The position that the stage expects next. */
  position: wholeNumber,
  /** An `apply` is queued or running. */
  isBusy: zod.boolean(),
  last: appliedFrameSchema.optional(),
});

export const refusalReasons = ["not-loaded", "wrong-position", "unknown-stream", "full", "expired"] as const;

/** The engine did not run the frame and says why. */
export const refusedFrameSchema = zod.object({
  kind: zod.literal("refused"),
  ...stageKeyShape,
  position: wholeNumber,
  reason: zod.enum(refusalReasons),
});

export const exportedFrameSchema = zod.object({
  kind: zod.literal("exported"),
  ...stageKeyShape,
  position: wholeNumber,
  cache: bytes,
});
export const importedFrameSchema = zod.object({
  kind: zod.literal("imported"),
  ...stageKeyShape,
  position: wholeNumber,
});
/** The engine is about to go: no new streams, please. */
export const drainingFrameSchema = zod.object({ kind: zod.literal("leaving") });

export const fromEngineSchema = zod.discriminatedUnion("kind", [
  appliedFrameSchema,
  stageStatusFrameSchema,
  refusedFrameSchema,
  exportedFrameSchema,
  importedFrameSchema,
  drainingFrameSchema,
]);

export type ApplyFrame = zod.infer<typeof applyFrameSchema>;
export type ProbeFrame = zod.infer<typeof probeFrameSchema>;
export type ExportFrame = zod.infer<typeof exportFrameSchema>;
export type ImportFrame = zod.infer<typeof importFrameSchema>;
export type ToEngineFrame = zod.infer<typeof toEngineSchema>;
export type AppliedFrame = zod.infer<typeof appliedFrameSchema>;
export type StageStatusFrame = zod.infer<typeof stageStatusFrameSchema>;
export type RefusedFrame = zod.infer<typeof refusedFrameSchema>;
export type ExportedFrame = zod.infer<typeof exportedFrameSchema>;
export type ImportedFrame = zod.infer<typeof importedFrameSchema>;
export type FromEngineFrame = zod.infer<typeof fromEngineSchema>;
export type RefusalReason = (typeof refusalReasons)[number];

/** Names one stage of one attempt of one request. */
export interface StageKey {
  readonly requestId: string;
  readonly attempt: number;
  readonly firstLayer: number;
}

/** The name alone, out of a frame or anything else that carries it. */
export function pickStageKey(key: StageKey): StageKey {
  return { requestId: key.requestId, attempt: key.attempt, firstLayer: key.firstLayer };
}
