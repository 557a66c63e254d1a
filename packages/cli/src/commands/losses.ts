/** `shedtiller losses`: how the requests of a day ended, and which decision lost those that were not served in time. */
import { countLosses, formatLosses } from "../losses/countLosses.js";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";
import { readLogs } from "./readLogs.js";

const defaultSpanS = 2;

/** What the command takes. */
export interface LossesOptions extends CommonOptions {
  /** Seconds of a row. */
  readonly span?: number;
}

/** Prints the ends of all requests over time; answers no where the logs have none. */
export function runLosses(files: readonly string[], options: LossesOptions): ExitCode {
  const spanS = Number(options.span ?? defaultSpanS);
  if (!(spanS > 0)) {
    printError(`--span: ${String(options.span)} is no number of seconds above 0.`);
    return exitCodes.unusable;
  }
  const lines = readLogs(files);
  if (lines === undefined) return exitCodes.unusable;
  const rows = countLosses(lines, spanS);
  const printed = options.json === true ? rows.map((row) => JSON.stringify(row)) : formatLosses(rows);
  for (const line of printed) print(line);
  if (rows.length > 0) return exitCodes.ok;
  printError(`No line of ${files.length} files ends a request.`);
  return exitCodes.no;
}
