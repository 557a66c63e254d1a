/** Schemas of the objects that make up a configuration. */
import * as zod from "zod";

const objectName = zod
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, "expected a name of letters, digits, dots, dashes and underscores")
  .max(64);
const layerRange = zod
  .tuple([zod.number().int().nonnegative(), zod.number().int().positive()])
  .refine(([first, end]) => first < end, "the first layer must come before the end");

export const pipelineObjectSchema = zod.strictObject({
  kind: zod.literal("pipeline"),
  /** Name of the model, as callers specify it. */
  name: objectName,
  version: zod.string().min(1).max(64),
  layerCount: zod.number().int().positive(),
  /** Capacity that the operator requests. */
  tokensPerSecond: zod.number().nonnegative().default(0),
  /** Client accounts that may use the pipeline; empty for all. */
  clientAccounts: zod.array(objectName).default([]),
  /** Target range of layers of each endpoint. Absent until a plan has decided the placement. */
  placement: zod.record(objectName, layerRange).optional(),
});

export const accountKeySchema = zod.strictObject({
  /** Public part of the key, used to look up the account. */
  keyId: zod.string().min(1).max(64),
  salt: zod.string(),
  /** SHA-256 of salt and secret, in base64url. A slow hash would add no security, since the secret has 256 random bits. */
  hash: zod.string(),
});

export const accountObjectSchema = zod.strictObject({
  kind: zod.literal("account"),
  name: objectName,
  priorityClass: objectName,
  keys: zod.array(accountKeySchema).default([]),
  /** Maximum number of concurrent requests over all instances; absent for no limit. */
  concurrency: zod.number().int().positive().optional(),
  /** Maximum number of tokens of prompts and answers per minute over all instances; absent for no limit. */
  tokensPerMinute: zod.number().positive().optional(),
});

export const classObjectSchema = zod.strictObject({
  kind: zod.literal("class"),
  name: objectName,
  /** Rank among the priority classes; 1 is the highest. */
  rank: zod.number().int().positive(),
  /** Share of the capacity that is reserved for the class even if higher classes could use all of it. */
  floorShare: zod.number().min(0).max(1).default(0),
});

export const serviceObjectSchema = zod.strictObject({
  kind: zod.literal("service"),
  name: objectName,
  /** Whether a call may be retried after it may have been executed. */
  repeatable: zod.boolean(),
});

export const configurationObjectSchema = zod.discriminatedUnion("kind", [
  pipelineObjectSchema,
  accountObjectSchema,
  classObjectSchema,
  serviceObjectSchema,
]);

export type PipelineObject = zod.infer<typeof pipelineObjectSchema>;
export type AccountObject = zod.infer<typeof accountObjectSchema>;
export type ClassObject = zod.infer<typeof classObjectSchema>;
export type ServiceObject = zod.infer<typeof serviceObjectSchema>;
export type ConfigurationObject = zod.infer<typeof configurationObjectSchema>;
export type ObjectKind = ConfigurationObject["kind"];

/** Returns the key of an object, `kind/name`, which is unique over all kinds. */
export function getObjectKey(object: { kind: ObjectKind; name: string }): string {
  return `${object.kind}/${object.name}`;
}
