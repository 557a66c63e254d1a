/** `shedtiller losses`: counts how requests ended, and why some were not served in time. */
import { countLosses, formatLosses } from "../losses/countLosses.js";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";
import { readLogs } from "./readLogs.js";

const defaultSpanS = 2;

/** Options of the command. */
export interface LossesOptions extends CommonOptions {
  /** Length in seconds of the time span that one row covers. */
  readonly span?: number;
}

/** Prints how requests ended over time; returns exit code 1 if the logs have no ended requests. */
export function runLosses(files: readonly string[], options: LossesOptions): ExitCode {
  const spanS = Number(options.span ?? defaultSpanS);
  if (!(spanS > 0)) {
    printError(`--span: ${String(options.span)} is not a number of seconds above 0.`);
    return exitCodes.error;
  }
  const lines = readLogs(files);
  if (lines === undefined) return exitCodes.error;
  const rows = countLosses(lines, spanS);
  const printed = options.json === true ? rows.map((row) => JSON.stringify(row)) : formatLosses(rows);
  for (const line of printed) print(line);
  if (rows.length > 0) return exitCodes.ok;
  printError(`No line of ${files.length} files ends a request.`);
  return exitCodes.negativeResult;
}
