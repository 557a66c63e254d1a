/** The objects that a configuration is made of. */
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
  /** Name of the model, as callers give it. */
  name: objectName,
  version: zod.string().min(1).max(64),
  layerCount: zod.number().int().positive(),
  /** Capacity that the operator asks for. */
  tokensPerSecond: zod.number().nonnegative().default(0),
  /** Client accounts that may use it; empty for all. */
  clientAccounts: zod.array(objectName).default([]),
  /** Which endpoint is to hold which layers. Absent until a plan has decided it. */
  placement: zod.record(objectName, layerRange).optional(),
});

export const accountKeySchema = zod.strictObject({
  /** Public part of the key, by which the account is found. */
  keyId: zod.string().min(1).max(64),
  salt: zod.string(),
  /** SHA-256 of salt and secret, in base64url. The secret has 256 random bits, so that a slow hash adds nothing. */
  hash: zod.string(),
});

export const accountObjectSchema = zod.strictObject({
  kind: zod.literal("account"),
  name: objectName,
  priorityClass: objectName,
  keys: zod.array(accountKeySchema).default([]),
  /** Requests at once, over all instances; absent for no limit. */
  concurrency: zod.number().int().positive().optional(),
  /** Tokens, of prompts and answers, a minute over all instances; absent for no limit. */
  tokensPerMinute: zod.number().positive().optional(),
});

export const classObjectSchema = zod.strictObject({
  kind: zod.literal("class"),
  name: objectName,
  /** 1 is the highest. */
  rank: zod.number().int().positive(),
  /** Share of the capacity that the class gets even while higher classes could use it all. */
  floorShare: zod.number().min(0).max(1).default(0),
});

export const serviceObjectSchema = zod.strictObject({
  kind: zod.literal("service"),
  name: objectName,
  /** Whether a call may be made again after it may have run. */
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

/** Names an object over all kinds. */
export function getObjectKey(object: { kind: ObjectKind; name: string }): string {
  return `${object.kind}/${object.name}`;
}
