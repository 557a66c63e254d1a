/** `shedtiller plan`, `confirm` and `show`: create, confirm and show plans. */
import * as fs from "node:fs";
import { errors, results } from "@shedtiller/common";
import { checkIntent, type Intent } from "@shedtiller/intent";
import * as zod from "zod";
import {
  callOperator,
  exitCodes,
  failWithError,
  print,
  type CommonOptions,
  type ExitCode,
} from "./CommandContext.js";
import { readIniIntent } from "./readIniIntent.js";

const plannedSchema = zod.object({ plan: zod.object({ planId: zod.string() }), text: zod.string() });
const confirmedSchema = zod.object({
  outcome: zod.object({
    planId: zod.string(),
    offset: zod.number(),
    isAccepted: zod.boolean(),
    overtakenKey: zod.string().optional(),
    overtakenBy: zod.string().optional(),
    overtakenByOperator: zod.string().optional(),
  }),
  isInForce: zod.boolean(),
  missing: zod.array(zod.string()),
});
const shownSchema = zod.object({
  text: zod.string().optional(),
  outcome: confirmedSchema.shape.outcome.optional(),
});

/** Submits an intent and prints the resulting plan. */
export async function runPlan(file: string, options: CommonOptions): Promise<ExitCode> {
  const intent = readIntent(file);
  if (intent.err) return failWithError(intent.val);
  const answer = await callOperator(options, "POST", "/v1/plans", intent.val);
  if (answer.err) return failWithError(answer.val);
  const planned = plannedSchema.parse(answer.val.body);
  print(options.json === true ? JSON.stringify(answer.val.body) : planned.text);
  return exitCodes.ok;
}

/** Confirms a plan and prints its outcome. */
export async function runConfirm(planId: string, options: CommonOptions): Promise<ExitCode> {
  const answer = await callOperator(options, "POST", `/v1/plans/${encodeURIComponent(planId)}/confirm`);
  if (answer.err) return failWithError(answer.val);
  const { outcome, isInForce, missing } = confirmedSchema.parse(answer.val.body);
  if (options.json === true) print(JSON.stringify(answer.val.body));
  else print(describeConfirmation(outcome, isInForce, missing));
  return outcome.isAccepted ? exitCodes.ok : exitCodes.negativeResult;
}

/** Prints a plan and its outcome. */
export async function runShow(planId: string, options: CommonOptions): Promise<ExitCode> {
  const answer = await callOperator(options, "GET", `/v1/plans/${encodeURIComponent(planId)}`);
  if (answer.err) return failWithError(answer.val);
  const { text, outcome } = shownSchema.parse(answer.val.body);
  if (options.json === true) print(JSON.stringify(answer.val.body));
  else {
    if (text !== undefined) print(text);
    print(outcome === undefined ? "Not confirmed." : describeOutcome(outcome));
  }
  return exitCodes.ok;
}

type Outcome = zod.infer<typeof confirmedSchema>["outcome"];

function describeConfirmation(outcome: Outcome, isInForce: boolean, missing: readonly string[]): string {
  const text = describeOutcome(outcome);
  if (!outcome.isAccepted) return text;
  if (missing.length === 0) return `${text} In force on every instance.`;
  const where = isInForce ? "In force on every reachable instance" : "Not in force everywhere yet";
  return `${text} ${where}; missing: ${missing.join(", ")}.`;
}

function describeOutcome(outcome: Outcome): string {
  if (outcome.isAccepted) return `Accepted at offset ${outcome.offset}.`;
  const by = `${outcome.overtakenBy ?? "another plan"} of ${outcome.overtakenByOperator ?? "another operator"}`;
  return `Rejected at offset ${outcome.offset}: ${outcome.overtakenKey ?? "an object"} was overtaken by ${by}.`;
}

/** Reads an intent from a JSON or INI file. */
export function readIntent(file: string): results.Result<Intent, errors.InvalidInputError> {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (error) {
    return results.Err(new errors.InvalidInputError(file, errors.describeError(error)));
  }
  if (file.endsWith(".ini")) {
    const read = readIniIntent(text, file);
    return read.ok ? checkIntent(read.val, file) : read;
  }
  try {
    return checkIntent(JSON.parse(text), file);
  } catch (error) {
    return results.Err(new errors.InvalidInputError(file, `is not JSON: ${errors.describeError(error)}`));
  }
}
