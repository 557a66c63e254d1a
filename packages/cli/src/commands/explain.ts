/** `shedtiller explain`: from a request's id to its cause, over the logs of all instances. */
import * as fs from "node:fs";
import { errors } from "@shedtiller/common";
import { explainRequest, formatExplained } from "../explain/explainRequest.js";
import { parseLogLine, type LogLine } from "../explain/logLine.js";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";

/** Prints the lines that explain a request; answers no where none names it. */
export function runExplain(requestId: string, files: readonly string[], options: CommonOptions): ExitCode {
  const lines: LogLine[] = [];
  let skipped = 0;
  for (const file of files) {
    let text: string;
    try {
      text = fs.readFileSync(file, "utf8");
    } catch (error) {
      printError(`${file}: ${errors.describeError(error)}`);
      return exitCodes.unusable;
    }
    for (const [index, line] of text.split("\n").entries()) {
      const parsed = parseLogLine(line, `${file}:${index + 1}`);
      if (parsed.ok) lines.push(parsed.val);
      else if (line.trim() !== "") skipped += 1;
    }
  }
  const explaining = explainRequest(requestId, lines);
  for (const line of explaining) print(options.json === true ? JSON.stringify(line) : formatExplained(line));
  if (skipped > 0) printError(`${skipped} lines are no log lines and were passed over.`);
  if (explaining.length > 0) return exitCodes.ok;
  printError(`No line of ${files.length} files names the request ${requestId}.`);
  return exitCodes.no;
}
