/** Schema and parser of trace files, which are JSON lines: a setup line, followed by requests, calls, faults and expectations. */
import * as fs from "node:fs";
import { errors, results } from "@shedtiller/common";
import * as zod from "zod";
import { fleetStructureSchema } from "../fleet/FleetStructure.js";

const name = zod.string().min(1);
const atMs = zod.number().nonnegative();

export const outcomes = ["answered", "refused-not-run", "unknown", "cut"] as const;

export const faultKinds = [
  "endpoint-dies",
  "endpoint-hangs",
  "endpoint-leaves",
  "reply-lost",
  "reply-crossed",
  "link-slow",
  "log-down",
  "log-reply-lost",
  "zone-cut",
  "instance-dies",
  "instance-stops",
  "instance-pauses",
] as const;

export const setupLineSchema = fleetStructureSchema.extend({ kind: zod.literal("setup") });

export const requestLineSchema = zod.strictObject({
  atMs,
  kind: zod.literal("request"),
  id: name,
  clientAccount: name,
  model: name,
  promptTokens: zod.number().int().positive(),
  outputTokens: zod.number().int().positive(),
  instance: name,
  /** Marks the request as non-repeatable. Lines with the same key send the same request. */
  key: name.optional(),
});

export const callLineSchema = zod.strictObject({
  atMs,
  kind: zod.literal("call"),
  id: name,
  key: name.optional(),
  service: name,
  clientAccount: name,
  instance: name,
});

export const faultLineSchema = zod.strictObject({
  atMs,
  kind: zod.literal("fault"),
  what: zod.enum(faultKinds),
  target: name.optional(),
  forMs: zod.number().positive().optional(),
  delayMs: zod.number().positive().optional(),
});

const outcomeSchema = zod.union([zod.enum(outcomes), zod.array(zod.enum(outcomes)).min(1)]);

export const expectLineSchema = zod
  .strictObject({
    kind: zod.literal("expect"),
    id: name.optional(),
    key: name.optional(),
    outcome: outcomeSchema.optional(),
    timesRun: zod.number().int().nonnegative().optional(),
    timesRunAtMost: zod.number().int().nonnegative().optional(),
    firstTokenWithinMs: zod.number().positive().optional(),
    withinMs: zod.number().positive().optional(),
  })
  .refine((line) => (line.id === undefined) !== (line.key === undefined), "expected either id or key");

export const traceLineSchema = zod.union([
  requestLineSchema,
  callLineSchema,
  faultLineSchema,
  expectLineSchema,
]);

export type SetupLine = zod.infer<typeof setupLineSchema>;
export type RequestLine = zod.infer<typeof requestLineSchema>;
export type CallLine = zod.infer<typeof callLineSchema>;
export type FaultLine = zod.infer<typeof faultLineSchema>;
export type ExpectLine = zod.infer<typeof expectLineSchema>;

/** A parsed trace. */
export interface Trace {
  readonly setup: SetupLine;
  readonly requests: readonly RequestLine[];
  readonly calls: readonly CallLine[];
  readonly faults: readonly FaultLine[];
  readonly expectations: readonly ExpectLine[];
}

const lineSchemas = {
  request: requestLineSchema,
  call: callLineSchema,
  fault: faultLineSchema,
  expect: expectLineSchema,
} as const;

type ParseResult<T> = results.Result<T, errors.InvalidInputError>;

/** Reads a trace file. An error states the file, line and field. */
export function readTrace(file: string): ParseResult<Trace> {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (error) {
    return results.Err(new errors.InvalidInputError(file, errors.describeError(error)));
  }
  return parseTrace(text, file);
}

/** Parses the text of a trace. */
export function parseTrace(text: string, file: string): ParseResult<Trace> {
  const trace = {
    requests: [] as RequestLine[],
    calls: [] as CallLine[],
    faults: [] as FaultLine[],
    expectations: [] as ExpectLine[],
  };
  let setup: SetupLine | undefined;
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    if (line.trim() === "") continue;
    const place = `${file}:${index + 1}`;
    const value = parseLine(line, place);
    if (value.err) return value;
    if (setup === undefined) {
      const read = validate(setupLineSchema, value.val, place);
      if (read.err) return read;
      setup = read.val;
      continue;
    }
    const added = addLine(trace, value.val, setup, place);
    if (added.err) return added;
  }
  if (setup === undefined) return results.Err(new errors.InvalidInputError(file, "has no setup line"));
  return checkExpectations({ setup, ...trace }, file);
}

function parseLine(line: string, place: string): ParseResult<unknown> {
  try {
    return results.Ok(JSON.parse(line));
  } catch (error) {
    return results.Err(new errors.InvalidInputError(place, `is not JSON: ${errors.describeError(error)}`));
  }
}

function validate<S extends zod.ZodType>(
  schema: S,
  value: unknown,
  place: string,
): ParseResult<zod.infer<S>> {
  const checked = schema.safeParse(value);
  return checked.success
    ? results.Ok(checked.data)
    : results.Err(errors.fromSchemaIssues(place, checked.error.issues));
}

interface TraceLines {
  readonly requests: RequestLine[];
  readonly calls: CallLine[];
  readonly faults: FaultLine[];
  readonly expectations: ExpectLine[];
}

function addLine(lines: TraceLines, value: unknown, setup: SetupLine, place: string): ParseResult<void> {
  const kind = (value as { kind?: unknown } | null)?.kind;
  const schema = typeof kind === "string" ? lineSchemas[kind as keyof typeof lineSchemas] : undefined;
  if (schema === undefined)
    return results.Err(
      new errors.InvalidInputError(`${place}: kind`, `${String(kind)} is not a known kind of line`),
    );
  const line = validate<zod.ZodType<RequestLine | CallLine | FaultLine | ExpectLine>>(schema, value, place);
  if (line.err) return line;
  const field = findUnknownReference(line.val, setup);
  if (field !== undefined)
    return results.Err(
      new errors.InvalidInputError(`${place}: ${field}`, "is not defined in the setup line"),
    );
  if (line.val.kind === "request") lines.requests.push(line.val);
  else if (line.val.kind === "call") lines.calls.push(line.val);
  else if (line.val.kind === "fault") return addFault(lines, line.val, place);
  else lines.expectations.push(line.val);
  return results.Ok(undefined);
}

function addFault(lines: TraceLines, fault: FaultLine, place: string): ParseResult<void> {
  const needsDuration = ["endpoint-hangs", "link-slow", "log-down", "zone-cut", "instance-pauses"].includes(
    fault.what,
  );
  if (needsDuration && fault.forMs === undefined) {
    return results.Err(new errors.InvalidInputError(`${place}: forMs`, `is required for ${fault.what}`));
  }
  if (fault.what === "link-slow" && fault.delayMs === undefined) {
    return results.Err(new errors.InvalidInputError(`${place}: delayMs`, "is required for link-slow"));
  }
  lines.faults.push(fault);
  return results.Ok(undefined);
}

/** Returns the field that refers to an object that the setup line does not define. */
function findUnknownReference(
  line: RequestLine | CallLine | FaultLine | ExpectLine,
  setup: SetupLine,
): string | undefined {
  if (line.kind === "expect") return undefined;
  if (line.kind === "fault") return isKnownTarget(line, setup) ? undefined : "target";
  if (!setup.instances.some((instance) => instance.name === line.instance)) return "instance";
  if (!setup.clientAccounts.some((account) => account.name === line.clientAccount)) return "clientAccount";
  if (line.kind === "call" && !setup.services.some((service) => service.name === line.service))
    return "service";
  return undefined;
}

function isKnownTarget({ what, target }: FaultLine, setup: SetupLine): boolean {
  if (what.startsWith("log-")) return true;
  if (target === undefined) return false;
  if (what === "zone-cut") return setup.availabilityZones.includes(target);
  if (what.startsWith("instance-")) return setup.instances.some((instance) => instance.name === target);
  const services = setup.services.flatMap((service) => service.endpoints);
  return services.includes(target) || setup.endpoints.some((endpoint) => endpoint.name === target);
}

function checkExpectations(trace: Trace, file: string): ParseResult<Trace> {
  const ids = [...trace.requests, ...trace.calls].map((line) => line.id);
  const duplicate = ids.find((id, index) => ids.indexOf(id) !== index);
  if (duplicate !== undefined)
    return results.Err(new errors.InvalidInputError(`${file}: id`, `${duplicate} is used by several lines`));
  const keys = [...trace.requests, ...trace.calls].map((line) => line.key);
  for (const { id, key } of trace.expectations) {
    const isKnown = id === undefined ? keys.includes(key) : ids.includes(id);
    if (!isKnown)
      return results.Err(
        new errors.InvalidInputError(`${file}: expect`, `${id ?? key ?? ""} is not a request of the trace`),
      );
  }
  return results.Ok(trace);
}
