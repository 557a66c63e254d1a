/** `shedtiller explain`: from a request's id to its cause, over the logs of all instances. */
import * as fs from "node:fs";
import { errors } from "@shedtiller/common";
import { explainRequest, formatExplained } from "../explain/explainRequest.js";
import { parseLogLine, type LogLine } from "../explain/logLine.js";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";

/** The lines of several logs. */
interface ReadLogs {
  readonly lines: readonly LogLine[];
  /** Lines that are no log lines. */
  readonly skipped: number;
}

/** Prints the lines that explain a request; answers no where none names it. */
export function runExplain(requestId: string, files: readonly string[], options: CommonOptions): ExitCode {
  const logs = readLogs(files);
  if (logs === undefined) return exitCodes.unusable;
  const explaining = explainRequest(requestId, logs.lines);
  for (const line of explaining) print(options.json === true ? JSON.stringify(line) : formatExplained(line));
  if (logs.skipped > 0) printError(`${logs.skipped} lines are no log lines and were passed over.`);
  if (explaining.length > 0) return exitCodes.ok;
  printError(`No line of ${files.length} files names the request ${requestId}.`);
  return exitCodes.no;
}

/** Reads all files; undefined, with a message, where one can't be read. */
function readLogs(files: readonly string[]): ReadLogs | undefined {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const file of files) {
    const text = readText(file);
    if (text === undefined) return undefined;
    for (const [index, line] of text.split("\n").entries()) {
      const parsed = parseLogLine(line, `${file}:${index + 1}`);
      if (parsed.ok) lines.push(parsed.val);
      else if (line.trim() !== "") skipped += 1;
    }
  }
  return { lines, skipped };
}

function readText(file: string): string | undefined {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    printError(`${file}: ${errors.describeError(error)}`);
    return undefined;
  }
}
