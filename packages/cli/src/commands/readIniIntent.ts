/** Parsing of intents in INI form: a section `[intent]` with the operator, and a section `[kind.name]` for each object. */
import { errors, results } from "@shedtiller/common";
import { readIni } from "@shedtiller/settings";

const numberFields = new Set([
  "layerCount",
  "tokensPerSecond",
  "concurrency",
  "tokensPerMinute",
  "rank",
  "floorShare",
]);
const listFields = new Set(["clientAccounts", "removals"]);
const jsonFields = new Set(["keys"]);
const kinds = new Set(["pipeline", "account", "class", "service"]);

/** Reads an intent without validating it against the schema. */
export function readIniIntent(text: string, file: string): results.Result<unknown, errors.InvalidInputError> {
  const document = readIni(text, file);
  if (document.err) return document;
  const intent: Record<string, unknown> = { objects: [] };
  const objects: unknown[] = [];
  for (const [section, fields] of Object.entries(document.val.sections)) {
    const converted = convertFields(fields, `${file}: [${section}]`);
    if (converted.err) return converted;
    if (section === "intent") {
      Object.assign(intent, converted.val);
      continue;
    }
    const separator = section.indexOf(".");
    const kind = section.slice(0, separator);
    if (!kinds.has(kind))
      return results.Err(new errors.InvalidInputError(`${file}: [${section}]`, "expected kind.name"));
    objects.push({ kind, name: section.slice(separator + 1), ...converted.val });
  }
  return results.Ok({ ...intent, objects });
}

function convertFields(
  fields: Readonly<Record<string, string>>,
  place: string,
): results.Result<Record<string, unknown>, errors.InvalidInputError> {
  const converted: Record<string, unknown> = {};
  for (const [field, text] of Object.entries(fields)) {
    const value = convert(field, text);
    if (value === undefined)
      return results.Err(new errors.InvalidInputError(`${place} ${field}`, "has a value of the wrong type"));
    converted[field] = value;
  }
  return results.Ok(converted);
}

function convert(field: string, text: string): unknown {
  if (numberFields.has(field))
    return text.trim() === "" || Number.isNaN(Number(text)) ? undefined : Number(text);
  if (listFields.has(field))
    return text
      .split(",")
      .map((item) => item.trim())
      .filter((item) => item !== "");
  if (field === "repeatable") return text === "true" ? true : text === "false" ? false : undefined;
  if (jsonFields.has(field)) return parseJson(text);
  return text;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
