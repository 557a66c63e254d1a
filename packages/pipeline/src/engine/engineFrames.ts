/** Frames between an entry instance and a model engine: MessagePack maps over one WebSocket, see docs/INTERFACES.md. */
import { layerRangeSchema } from "@shedtiller/routing";
import * as zod from "zod";

const bytes = zod.custom<Uint8Array>((value) => value instanceof Uint8Array, "expected bytes");
const wholeNumber = zod.number().int().nonnegative();

/** Fields that identify one stage of one attempt of one request. */
const stageKeyShape = { requestId: zod.string(), attempt: wholeNumber, firstLayer: wholeNumber };

/** Call to apply a stage to positions [position, position + count). Stage 0 gets tokens, later stages get activations. */
export const applyFrameSchema = zod.object({
  kind: zod.literal("apply"),
  ...stageKeyShape,
  layers: layerRangeSchema,
  position: wholeNumber,
  count: zod.number().int().positive(),
  tokens: zod.array(wholeNumber).optional(),
  activations: bytes.optional(),
  /** Rank of the request's priority class; 1 is the highest. */
  priority: zod.number().int().positive(),
  /** Time left until the answer is no longer needed. */
  remainingMs: zod.number(),
});

/** Notice that a stage is no longer needed, so that the engine stops its work and frees its KV cache. */
export const releaseFrameSchema = zod.object({ kind: zod.literal("release"), ...stageKeyShape });
/** Request for the status of a stage. */
export const probeFrameSchema = zod.object({ kind: zod.literal("probe"), ...stageKeyShape });
/** Request for the KV cache of a stage. */
export const exportFrameSchema = zod.object({ kind: zod.literal("export"), ...stageKeyShape });
/** KV cache of positions [0, position) with which a new attempt of a stage starts. */
export const importFrameSchema = zod.object({
  kind: zod.literal("import"),
  ...stageKeyShape,
  layers: layerRangeSchema,
  position: wholeNumber,
  cache: bytes,
});

/** Frames that an instance sends to an engine. */
export const toEngineSchema = zod.discriminatedUnion("kind", [
  applyFrameSchema,
  releaseFrameSchema,
  probeFrameSchema,
  exportFrameSchema,
  importFrameSchema,
]);

/** Outcome of an `apply`: activations, or the next token from the last stage. */
export const appliedFrameSchema = zod.object({
  kind: zod.literal("applied"),
  ...stageKeyShape,
  position: wholeNumber,
  count: zod.number().int().positive(),
  activations: bytes.optional(),
  token: wholeNumber.optional(),
  /** Whether the model ended its answer with this token. */
  isEnd: zod.boolean().optional(),
});

/** Status of a stage, with its last outcome in case the reply was lost. */
export const stageStatusFrameSchema = zod.object({
  kind: zod.literal("standing"),
  ...stageKeyShape,
  /** Position that the stage expects next. */
  position: wholeNumber,
  /** Whether an `apply` is queued or running. */
  isBusy: zod.boolean(),
  last: appliedFrameSchema.optional(),
});

/** Reasons of an engine for not running a call. */
export const refusalReasons = ["not-loaded", "wrong-position", "unknown-stream", "full", "expired"] as const;

/** Reply to a call that the engine did not run, with the reason. */
export const refusedFrameSchema = zod.object({
  kind: zod.literal("refused"),
  ...stageKeyShape,
  position: wholeNumber,
  reason: zod.enum(refusalReasons),
});

/** Reply to an `export`, with the KV cache of positions [0, position). */
export const exportedFrameSchema = zod.object({
  kind: zod.literal("exported"),
  ...stageKeyShape,
  position: wholeNumber,
  cache: bytes,
});
/** Reply to an `import`. */
export const importedFrameSchema = zod.object({
  kind: zod.literal("imported"),
  ...stageKeyShape,
  position: wholeNumber,
});
/** Notice that the engine is draining and accepts no new streams. */
export const drainingFrameSchema = zod.object({ kind: zod.literal("leaving") });

/** Frames that an engine sends to an instance. */
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

/** Identifies one stage of one attempt of one request. */
export interface StageKey {
  readonly requestId: string;
  readonly attempt: number;
  readonly firstLayer: number;
}

/** Returns the key without the other fields of a frame. */
export function pickStageKey(key: StageKey): StageKey {
  return { requestId: key.requestId, attempt: key.attempt, firstLayer: key.firstLayer };
}
