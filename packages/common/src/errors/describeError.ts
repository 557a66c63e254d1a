import { InvalidInputError, ShedtillerError } from "./ShedtillerError.js";

/** Gives the message of anything thrown, for logs. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Tells whether `error` is a typed failure with one of the given codes. */
export function hasCode(error: unknown, ...codes: string[]): boolean {
  return error instanceof ShedtillerError && codes.includes(error.code);
}

interface SchemaIssue {
  readonly path: PropertyKey[];
  readonly message: string;
}

/** Turns the first issue of a failed schema check into a typed error that names the field. */
export function fromSchemaIssues(place: string, issues: readonly SchemaIssue[]): InvalidInputError {
  const first = issues[0];
  const field = first === undefined ? "" : first.path.map(String).join(".");
  const reason = (first?.message ?? "does not match its schema").replace(/\.$/, "");
  return new InvalidInputError(field === "" ? place : `${place}: ${field}`, reason);
}
