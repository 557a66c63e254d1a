/** Parsing of INI text into sections, with the line of each key for error messages. */
import { errors, results } from "@shedtiller/common";
import * as ini from "ini";

/** Values by section and key; a section `[a.b]` has the name `a.b`. */
export type IniSections = Record<string, Record<string, string>>;

/** A parsed document: its sections, and the line of each `section/key`. */
export interface IniDocument {
  readonly sections: IniSections;
  readonly lines: ReadonlyMap<string, number>;
}

const sectionPattern = /^\s*\[([^\]]+)\]\s*$/;
const keyPattern = /^\s*([^=;#\s][^=]*?)\s*=/;
const commentPattern = /^\s*([;#].*)?$/;

/** Parses INI text. Fails on a line that is neither a section, a key, a comment nor blank, and on a duplicate key. */
export function readIni(text: string, file: string): results.Result<IniDocument, errors.InvalidInputError> {
  const located = locateKeys(text, file);
  if (located.err) return located;
  const sections: IniSections = {};
  for (const [keyPath] of located.val) {
    const [section, key] = splitKeyPath(keyPath);
    const parsed = getParsed(ini.parse(text, { bracketedArray: false }), section)[key];
    (sections[section] ??= {})[key] = String(parsed ?? "");
  }
  return results.Ok({ sections, lines: located.val });
}

function splitKeyPath(keyPath: string): [section: string, key: string] {
  const separator = keyPath.lastIndexOf("/");
  return [keyPath.slice(0, separator), keyPath.slice(separator + 1)];
}

/** Returns the values of a section; the library parses `[a.b]` into nested objects. */
function getParsed(document: object, section: string): Record<string, unknown> {
  let current: unknown = document;
  for (const part of section === "" ? [] : section.split(".")) {
    current = (current as Record<string, unknown> | undefined)?.[part];
  }
  return (current ?? {}) as Record<string, unknown>;
}

/** Validates the lines and returns the line number of each `section/key`. */
function locateKeys(
  text: string,
  file: string,
): results.Result<Map<string, number>, errors.InvalidInputError> {
  const lines = new Map<string, number>();
  let section = "";
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    const number = index + 1;
    if (commentPattern.test(line)) continue;
    const sectionMatch = sectionPattern.exec(line);
    if (sectionMatch !== null) {
      section = sectionMatch[1] ?? "";
      continue;
    }
    const key = keyPattern.exec(line)?.[1];
    if (key === undefined)
      return fault(`${file}:${number}`, "expected a [section], a key = value pair or a comment");
    if (key.includes("/") || key.endsWith("[]"))
      return fault(`${file}:${number}`, `the key ${key} must not contain "/" or end with "[]"`);
    const keyPath = `${section}/${key}`;
    if (lines.has(keyPath)) return fault(`${file}:${number}`, `${key} appears twice in [${section}]`);
    lines.set(keyPath, number);
  }
  return results.Ok(lines);
}

function fault(place: string, reason: string): results.Result<never, errors.InvalidInputError> {
  return results.Err(new errors.InvalidInputError(place, reason));
}
