/** The check of a whole settings file: every fault is listed with its line, unknown keys with the nearest known one. */
import * as fs from "node:fs";
import { errors, results } from "@shedtiller/common";
import type * as zod from "zod";
import { instanceSettingsSchema, type InstanceSettings } from "./instanceSettings.js";
import { getNearest } from "./getNearest.js";
import { readIni, type IniDocument } from "./readIni.js";

/** How far clocks of callers and the log may differ; the claims fold uses the same figure. */
const clockDifferenceMs = 60_000;

/** All faults of a settings file together. */
export class SettingsError extends errors.ShedtillerError {
  readonly code = "invalid_settings";

  constructor(readonly faults: readonly errors.InvalidInputError[]) {
    super(faults.map((fault) => fault.message).join("\n"));
  }
}

/** Reads and checks the settings file of an entry instance. */
export function loadSettings(file: string): results.Result<InstanceSettings, SettingsError> {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (error) {
    return results.Err(new SettingsError([new errors.InvalidInputError(file, errors.describeError(error))]));
  }
  return checkSettings(text, file);
}

/** Checks the text of a settings file. `file` names it in faults. */
export function checkSettings(text: string, file: string): results.Result<InstanceSettings, SettingsError> {
  const checked = checkSections(instanceSettingsSchema, text, file);
  if (checked.err) return checked;
  return checkTogether(checked.val.settings, checked.val.document, file);
}

/** Settings that passed the check of their fields, and where each key stands. */
export interface CheckedSections<T> {
  readonly settings: T;
  readonly document: IniDocument;
}

/** Checks INI text against a schema of sections. `file` names it in faults. */
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

/** Faults that only show when fields are looked at together. */
function checkTogether(
  settings: InstanceSettings,
  document: IniDocument,
  file: string,
): results.Result<InstanceSettings, SettingsError> {
  const faults: errors.InvalidInputError[] = [];
  const add = (section: string, key: string, reason: string): void => {
    faults.push(new errors.InvalidInputError(getPlace([section, key], document, file), reason));
  };
  if (settings.claims.horizonMs + clockDifferenceMs >= settings.platform.logRetentionMs) {
    add("claims", "horizonMs", `must stay ${clockDifferenceMs} ms or more below [platform] logRetentionMs`);
  }
  const { tlsCertificateFile, tlsKeyFile } = settings.security;
  if ((tlsCertificateFile === undefined) !== (tlsKeyFile === undefined)) {
    add("security", "tlsCertificateFile", "goes together with tlsKeyFile");
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
  const advice = nearest === undefined ? "" : `; did you mean ${nearest}`;
  return new errors.InvalidInputError(getPlace(path, document, file), `is not a known name${advice}`);
}

function getKnownKeys(sectionPath: readonly string[], shape: zod.ZodRawShape): string[] {
  const section = sectionPath[0];
  if (section === undefined) return Object.keys(shape);
  return Object.keys(unwrapShape(shape[section]));
}

/** Sections with defaults wrap their object; this finds the keys behind the wrapping. */
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
