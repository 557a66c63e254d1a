import { InvalidInputError, ShedtillerError } from "./ShedtillerError.js";

/** Returns the message of a thrown value, for log lines. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Returns whether `error` is a {@link ShedtillerError} with one of the given codes. */
export function hasCode(error: unknown, ...codes: string[]): boolean {
  return error instanceof ShedtillerError && codes.includes(error.code);
}

interface SchemaIssue {
  readonly path: PropertyKey[];
  readonly message: string;
}

/** Converts the first issue of a failed schema validation to a typed error that names the field. */
export function fromSchemaIssues(place: string, issues: readonly SchemaIssue[]): InvalidInputError {
  const first = issues[0];
  const field = first === undefined ? "" : first.path.map(String).join(".");
  const reason = (first?.message ?? "does not match its schema").replace(/\.$/, "");
  return new InvalidInputError(field === "" ? place : `${place}: ${field}`, reason);
}
