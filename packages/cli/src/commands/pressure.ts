/** `shedtiller pressure`: shows the decisions under load by zone, as gateways report them. */
import { fetchPressure, type PressureError } from "../pressure/fetchPressure.js";
import { formatPressure } from "../pressure/formatPressure.js";
import { exitCodes, print, printError, type CommonOptions, type ExitCode } from "./CommandContext.js";

/** Prints the reports of gateways; returns exit code 1 if one of them could not be read, and 2 if none could. */
export async function runPressure(addresses: readonly string[], options: CommonOptions): Promise<ExitCode> {
  if (addresses.length === 0) {
    printError("Name the addresses of the listeners for metrics of one gateway or more, as IP:PORT.");
    return exitCodes.error;
  }
  const answers = await Promise.all(addresses.map((address) => fetchPressure(address)));
  const reports = answers.flatMap((answer) => (answer.ok ? [answer.val] : []));
  const failures = answers.flatMap((answer) => (answer.err ? [answer.val] : []));
  if (options.json === true) print(JSON.stringify({ reports, failures: failures.map(toJson) }));
  else for (const line of formatPressure(reports)) print(line);
  for (const failure of failures) printError(failure.message);
  if (reports.length === 0) return exitCodes.error;
  return failures.length === 0 ? exitCodes.ok : exitCodes.negativeResult;
}

function toJson({ address, code, message }: PressureError): object {
  return { address, code, message };
}
