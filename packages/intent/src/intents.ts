/** Schemas of the intents of operators and of the plans made for them. */
import { errors, results } from "@shedtiller/common";
import * as zod from "zod";
import { configurationObjectSchema, getObjectKey } from "./configurationObjects.js";
import { changeSchema } from "./configurationRecords.js";

export const intentSchema = zod.strictObject({
  /** Name of the operator who states the intent; shown to operators whose plans are rejected because of the intent. */
  operator: zod.string().min(1).max(64),
  /** Target state of the objects to add or change. */
  objects: zod.array(configurationObjectSchema).default([]),
  /** Keys of the objects to remove, as `kind/name`. */
  removals: zod.array(zod.string().regex(/^(pipeline|account|class|service)\/.+$/)).default([]),
});

/** The changes to the configuration that an operator requests. */
export type Intent = zod.infer<typeof intentSchema>;

export const placementLineSchema = zod.object({
  endpoint: zod.string(),
  availabilityZone: zod.string(),
  accelerator: zod.string(),
  before: zod.string(),
  after: zod.string(),
});

export const planSchema = zod.object({
  planId: zod.string(),
  operator: zod.string(),
  /** Name of the instance that made the plan. */
  madeBy: zod.string(),
  /** Offset of the configuration on which the plan is based. */
  baseOffset: zod.number().int(),
  changes: zod.array(changeSchema),
  placement: zod.array(placementLineSchema),
  /** Tokens per second of each pipeline: before the plan, after it, and the upper bound of the hardware. */
  capacity: zod.array(
    zod.object({
      pipeline: zod.string(),
      beforeTokensPerSecond: zod.number(),
      afterTokensPerSecond: zod.number(),
      boundTokensPerSecond: zod.number(),
    }),
  ),
  affectedAccounts: zod.array(zod.string()),
  /** Estimated time to load layers from the weight store. */
  loadMs: zod.number(),
  warnings: zod.array(zod.string()),
});

/** The effects of an intent. Nothing changes before the plan is confirmed. */
export type Plan = zod.infer<typeof planSchema>;

/** Validates an intent; the error names the invalid field. */
export function checkIntent(value: unknown, place: string): results.Result<Intent, errors.InvalidInputError> {
  const checked = intentSchema.safeParse(value);
  if (!checked.success) return results.Err(errors.fromSchemaIssues(place, checked.error.issues));
  const keys = [...checked.data.objects.map(getObjectKey), ...checked.data.removals];
  const duplicate = keys.find((key, index) => keys.indexOf(key) !== index);
  if (duplicate !== undefined)
    return results.Err(new errors.InvalidInputError(place, `${duplicate} appears twice`));
  if (keys.length === 0)
    return results.Err(new errors.InvalidInputError(place, "contains no objects or removals"));
  return results.Ok(checked.data);
}

/** Renders a plan as text for operators. */
export function renderPlan(plan: Plan): string {
  const lines = [
    `Plan ${plan.planId} for ${plan.operator}, based on configuration offset ${plan.baseOffset}.`,
    "",
  ];
  lines.push("Objects:");
  for (const change of plan.changes) lines.push(`  ${describeChange(change)}`);
  if (plan.placement.length > 0)
    lines.push("", "Layers by endpoint:", ...plan.placement.map(describePlacement));
  for (const c of plan.capacity) {
    lines.push(
      "",
      `Capacity of ${c.pipeline}: ${round(c.beforeTokensPerSecond)} → ${round(c.afterTokensPerSecond)} tokens/s, ` +
        `of ${round(c.boundTokensPerSecond)} that the hardware allows.`,
    );
  }
  if (plan.affectedAccounts.length > 0)
    lines.push("", `Client accounts affected: ${plan.affectedAccounts.join(", ")}.`);
  if (plan.loadMs > 0)
    lines.push("", `Loading from the weight store: about ${(plan.loadMs / 1000).toFixed(1)} s.`);
  for (const warning of plan.warnings) lines.push("", `Warning: ${warning}`);
  lines.push("", `Nothing changes before: shedtiller confirm ${plan.planId}`);
  return lines.join("\n");
}

function describeChange(change: Plan["changes"][number]): string {
  if (change.value === null) return `- ${change.key} is removed`;
  return change.baseOffset < 0 ? `+ ${change.key} is new` : `~ ${change.key} changes`;
}

function describePlacement(line: Plan["placement"][number]): string {
  const mark = line.before === line.after ? " " : "~";
  const place = `${line.availabilityZone}, ${line.accelerator}`;
  return `  ${mark} ${line.endpoint.padEnd(12)} ${line.before.padEnd(28)} → ${line.after.padEnd(28)} (${place})`;
}

function round(value: number): string {
  return value.toFixed(0);
}
