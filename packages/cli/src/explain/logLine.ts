/** Lines of an instance's structured log. */
import { results, errors } from "@shedtiller/common";
import * as zod from "zod";

const logLineSchema = zod.looseObject({
  message: zod.string(),
  instance: zod.string(),
  timestamp: zod.string(),
  requestId: zod.string().optional(),
  endpointId: zod.string().optional(),
  address: zod.string().optional(),
});

/** A line of an instance's structured log. */
export type LogLine = zod.infer<typeof logLineSchema>;

/** Parses a line. A prefix before the JSON object, such as a time or a host, is skipped. */
export function parseLogLine(text: string, place: string): results.Result<LogLine, errors.InvalidInputError> {
  const start = text.indexOf("{");
  if (start < 0) return results.Err(new errors.InvalidInputError(place, "has no JSON object"));
  try {
    const checked = logLineSchema.safeParse(JSON.parse(text.slice(start)));
    return checked.success
      ? results.Ok(checked.data)
      : results.Err(errors.fromSchemaIssues(place, checked.error.issues));
  } catch (error) {
    return results.Err(new errors.InvalidInputError(place, errors.describeError(error)));
  }
}

/** Returns the time of a line in milliseconds since the Unix epoch, by the clock of the instance that wrote it. */
export function getWallMs(line: LogLine): number {
  return Date.parse(line.timestamp);
}
