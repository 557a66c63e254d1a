/** Schemas of the records in the configuration stream of the log. */
import * as zod from "zod";
import { configurationObjectSchema } from "./configurationObjects.js";

/** Name of the log stream with the configuration. */
export const configurationStream = "configuration";
/** Version of the record format that this code writes and reads. */
export const recordVersion = 1;
/** Base offset of an object that did not exist. */
export const absentOffset = -1;

export const changeSchema = zod.object({
  key: zod.string(),
  /** Offset of the last change of the object when the plan was made; `absentOffset` if it did not exist. */
  baseOffset: zod.number().int(),
  /** The new value of the object; null to remove it. */
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
  /** For a rejected plan: key of the object that had changed, and the plan and operator that changed it. */
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
  /** Offset of the last record that the state includes; -1 for none. */
  offset: zod.number().int(),
  objects: zod.record(zod.string(), storedObjectSchema),
  /** Removals by object key, needed to reject a plan that was made before the removal. */
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
