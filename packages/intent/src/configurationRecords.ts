/** Records of the configuration stream of the log. */
import * as zod from "zod";
import { configurationObjectSchema } from "./configurationObjects.js";

/** Name of the stream. */
export const configurationStream = "configuration";
/** Version of the records that this code writes and reads. */
export const recordVersion = 1;
/** Base offset of an object that was not there. */
export const absentOffset = -1;

export const changeSchema = zod.object({
  key: zod.string(),
  /** Offset at which the object was last changed when the plan was made; `absentOffset` where there was none. */
  baseOffset: zod.number().int(),
  /** The object from now on; null to remove it. */
  value: configurationObjectSchema.nullable(),
});

export const confirmRecordSchema = zod.object({
  version: zod.literal(recordVersion),
  type: zod.literal("confirm"),
  planId: zod.string(),
  operator: zod.string(),
  changes: zod.array(changeSchema).min(1),
});

export const planOutcomeSchema = zod.object({
  planId: zod.string(),
  operator: zod.string(),
  offset: zod.number().int(),
  isAccepted: zod.boolean(),
  /** For a rejected plan: the object that was overtaken, and by which plan of whom. */
  overtakenKey: zod.string().optional(),
  overtakenBy: zod.string().optional(),
  overtakenByOperator: zod.string().optional(),
});

export const storedObjectSchema = zod.object({
  value: configurationObjectSchema,
  setAtOffset: zod.number().int(),
  setByPlan: zod.string(),
  setByOperator: zod.string(),
});

export const configurationStateSchema = zod.object({
  /** All records up to this offset are in the state; -1 for none. */
  offset: zod.number().int(),
  objects: zod.record(zod.string(), storedObjectSchema),
  /** Removed objects, so that a plan made before the removal is seen to be overtaken. */
  removedAt: zod.record(zod.string(), storedObjectSchema.omit({ value: true })),
  outcomes: zod.array(planOutcomeSchema),
});

export const snapshotRecordSchema = zod.object({
  version: zod.literal(recordVersion),
  type: zod.literal("snapshot"),
  state: configurationStateSchema,
});

export const configurationRecordSchema = zod.discriminatedUnion("type", [
  confirmRecordSchema,
  snapshotRecordSchema,
]);

export type Change = zod.infer<typeof changeSchema>;
export type ConfirmRecord = zod.infer<typeof confirmRecordSchema>;
export type PlanOutcome = zod.infer<typeof planOutcomeSchema>;
export type StoredObject = zod.infer<typeof storedObjectSchema>;
export type ConfigurationState = zod.infer<typeof configurationStateSchema>;
export type SnapshotRecord = zod.infer<typeof snapshotRecordSchema>;
