/** Reading of structured logs from files. */
import * as fs from "node:fs";
import { errors } from "@shedtiller/common";
import { parseLogLine, type LogLine } from "../explain/logLine.js";
import { printError } from "./CommandContext.js";

/**
 * Reads the log lines of all files, and prints how many other lines were skipped. Prints an error and returns undefined if a
 * file can't be read.
 */
export function readLogs(files: readonly string[]): LogLine[] | undefined {
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
  if (skipped > 0) printError(`${skipped} lines are not log lines and were skipped.`);
  return lines;
}

function readText(file: string): string | undefined {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    printError(`${file}: ${errors.describeError(error)}`);
    return undefined;
  }
}
