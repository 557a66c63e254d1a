/** Reading of INI text into sections, remembering the line of each key. */
import { errors, results } from "@shedtiller/common";
import * as ini from "ini";

/** Sections of keys and their texts; a section `[a.b]` stands under the name `a.b`. */
export type IniSections = Record<string, Record<string, string>>;

/** What was read: the sections, and the line of each `section/key`. */
export interface IniDocument {
  readonly sections: IniSections;
  readonly lines: ReadonlyMap<string, number>;
}

const sectionPattern = /^\s*\[([^\]]+)\]\s*$/;
const keyPattern = /^\s*([^=;#\s][^=]*?)\s*=/;
const commentPattern = /^\s*([;#].*)?$/;

/** Reads INI text. Fails on a line that is none of section, key, comment or blank, and on a key given twice. */
export function readIni(text: string, file: string): results.Result<IniDocument, errors.InvalidInputError> {
  const located = locateKeys(text, file);
  if (located.err) return located;
  const sections: IniSections = {};
  for (const [place] of located.val) {
    const [section, key] = splitPlace(place);
    const parsed = getParsed(ini.parse(text, { bracketedArray: false }), section)[key];
    (sections[section] ??= {})[key] = String(parsed ?? "");
  }
  return results.Ok({ sections, lines: located.val });
}

function splitPlace(place: string): [section: string, key: string] {
  const cut = place.lastIndexOf("/");
  return [place.slice(0, cut), place.slice(cut + 1)];
}

/** The library nests `[a.b]` as an object in an object; this follows the dots. */
function getParsed(document: object, section: string): Record<string, unknown> {
  let current: unknown = document;
  for (const part of section === "" ? [] : section.split(".")) {
    current = (current as Record<string, unknown> | undefined)?.[part];
  }
  return (current ?? {}) as Record<string, unknown>;
}

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
    if (key === undefined) return fault(`${file}:${number}`, "expected [section], key = value or a comment");
    if (key.includes("/") || key.endsWith("[]"))
      return fault(`${file}:${number}`, `the key ${key} is not a plain name`);
    const place = `${section}/${key}`;
    if (lines.has(place)) return fault(`${file}:${number}`, `${key} is given twice in [${section}]`);
    lines.set(place, number);
  }
  return results.Ok(lines);
}

function fault(place: string, reason: string): results.Result<never, errors.InvalidInputError> {
  return results.Err(new errors.InvalidInputError(place, reason));
}
