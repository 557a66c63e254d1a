/** `shedtiller explain`: shows the decisions about a request, from the logs of all instances. */
import { explainRequest, formatExplained } from "../explain/explainRequest.js";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";
import { readLogs } from "./readLogs.js";

/** Prints the lines that explain a request; the result is negative if no line names it. */
export function runExplain(requestId: string, files: readonly string[], options: CommonOptions): ExitCode {
  const lines = readLogs(files);
  if (lines === undefined) return exitCodes.unusable;
  const explaining = explainRequest(requestId, lines);
  for (const line of explaining) print(options.json === true ? JSON.stringify(line) : formatExplained(line));
  if (explaining.length > 0) return exitCodes.ok;
  printError(`No line of ${files.length} files names the request ${requestId}.`);
  return exitCodes.no;
}
