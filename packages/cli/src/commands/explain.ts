/** `shedtiller explain`: shows the decisions about a request, from the logs of all instances. */
import { explainRequest, formatExplained } from "../explain/explainRequest.js";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";
import { readLogs } from "./readLogs.js";

/** Prints the lines that explain a request; returns exit code 1 if no line names the request. */
export function runExplain(requestId: string, files: readonly string[], options: CommonOptions): ExitCode {
  const lines = readLogs(files);
  if (lines === undefined) return exitCodes.error;
  const explanation = explainRequest(requestId, lines);
  for (const line of explanation) print(options.json === true ? JSON.stringify(line) : formatExplained(line));
  if (explanation.length > 0) return exitCodes.ok;
  printError(
    `No line of ${files.length} files names the request ${requestId}. If its caller got nothing, no instance has read it whole:`,
  );
  printError(
    `look for connection-invalid and request-ignored lines of that time, and see "A caller got nothing" in OPERATIONS.`,
  );
  return exitCodes.negativeResult;
}
