/** Validation of settings files. All errors are reported together with their lines, and unknown keys with the closest known one. */
import * as fs from "node:fs";
import { errors, results } from "@shedtiller/common";
import type * as zod from "zod";
import { instanceSettingsSchema, type InstanceSettings } from "./instanceSettings.js";
import { getNearest } from "./getNearest.js";
import { readIni, type IniDocument } from "./readIni.js";

/** Maximum clock skew between callers and the log; the projection of the claims stream uses the same value. */
const maxClockSkewMs = 60_000;

/** All errors of a settings file. */
export class SettingsError extends errors.ShedtillerError {
  readonly code = "invalid_settings";

  constructor(readonly faults: readonly errors.InvalidInputError[]) {
    super(faults.map((fault) => fault.message).join("\n"));
  }
}

/** Reads and validates the settings file of an entry instance. */
export function loadSettings(file: string): results.Result<InstanceSettings, SettingsError> {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (error) {
    return results.Err(new SettingsError([new errors.InvalidInputError(file, errors.describeError(error))]));
  }
  return checkSettings(text, file);
}

/** Validates the text of a settings file. `file` is its name in errors. */
export function checkSettings(text: string, file: string): results.Result<InstanceSettings, SettingsError> {
  const checked = checkSections(instanceSettingsSchema, text, file);
  if (checked.err) return checked;
  return checkCombinations(checked.val.settings, checked.val.document, file);
}

/** Settings whose fields are valid, and the document with the line of each key. */
export interface CheckedSections<T> {
  readonly settings: T;
  readonly document: IniDocument;
}

/** Validates INI text against a schema of sections. `file` is its name in errors. */
export function checkSections<Shape extends zod.ZodRawShape>(
  schema: zod.ZodObject<Shape>,
  text: string,
  file: string,
): results.Result<CheckedSections<zod.output<zod.ZodObject<Shape>>>, SettingsError> {
  const document = readIni(text, file);
  if (document.err) return results.Err(new SettingsError([document.val]));
  const checked = schema.safeParse(document.val.sections);
  if (checked.success) return results.Ok({ settings: checked.data, document: document.val });
  const faults = checked.error.issues.flatMap((issue) =>
    describeIssue(issue, schema.shape, document.val, file),
  );
  return results.Err(new SettingsError(faults));
}

/** Validates the rules that involve several fields. */
function checkCombinations(
  settings: InstanceSettings,
  document: IniDocument,
  file: string,
): results.Result<InstanceSettings, SettingsError> {
  const faults: errors.InvalidInputError[] = [];
  const addFault = (section: string, key: string, reason: string): void => {
    faults.push(new errors.InvalidInputError(getPlace([section, key], document, file), reason));
  };
  if (settings.claims.horizonMs + maxClockSkewMs >= settings.platform.logRetentionMs) {
    addFault("claims", "horizonMs", `must be more than ${maxClockSkewMs} ms below [platform] logRetentionMs`);
  }
  const { tlsCertificateFile, tlsKeyFile } = settings.security;
  if ((tlsCertificateFile === undefined) !== (tlsKeyFile === undefined)) {
    addFault("security", "tlsCertificateFile", "must be set together with tlsKeyFile");
  }
  return faults.length === 0 ? results.Ok(settings) : results.Err(new SettingsError(faults));
}

function describeIssue(
  issue: zod.core.$ZodIssue,
  shape: zod.ZodRawShape,
  document: IniDocument,
  file: string,
): errors.InvalidInputError[] {
  const path = issue.path.map(String);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => describeUnknown([...path, key], shape, document, file));
  }
  const reason = issue.message.replace(/\.$/, "");
  return [new errors.InvalidInputError(getPlace(path, document, file), reason)];
}

function describeUnknown(
  path: readonly string[],
  shape: zod.ZodRawShape,
  document: IniDocument,
  file: string,
): errors.InvalidInputError {
  const key = path[path.length - 1] ?? "";
  const nearest = getNearest(key, getKnownKeys(path.slice(0, -1), shape));
  const suggestion = nearest === undefined ? "" : `; did you mean ${nearest}`;
  return new errors.InvalidInputError(getPlace(path, document, file), `is not a known name${suggestion}`);
}

function getKnownKeys(sectionPath: readonly string[], shape: zod.ZodRawShape): string[] {
  const section = sectionPath[0];
  if (section === undefined) return Object.keys(shape);
  return Object.keys(unwrapShape(shape[section]));
}

/** Returns the shape of a section's object schema, which may be wrapped in schemas for defaults. */
function unwrapShape(schema: unknown): object {
  const candidate = schema as { shape?: object; def?: { innerType?: unknown } };
  if (candidate.shape !== undefined) return candidate.shape;
  return candidate.def?.innerType === undefined ? {} : unwrapShape(candidate.def.innerType);
}

function getPlace(path: readonly string[], document: IniDocument, file: string): string {
  const [section = "", key = ""] = path;
  const line = document.lines.get(`${section}/${key}`);
  const where = line === undefined ? file : `${file}:${line}`;
  return key === "" ? `${where}: [${section}]` : `${where}: [${section}] ${key}`;
}
