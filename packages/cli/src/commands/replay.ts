/** `shedtiller replay`: replays a trace and compares it with its expected outcomes. */
import type { TraceVerdict } from "@shedtiller/standins";
import {
  exitCodes,
  failWithError,
  print,
  printError,
  type CommonOptions,
  type ExitCode,
} from "./CommandContext.js";

/** Replays a trace and prints the outcomes and the failed expectations. */
export async function runReplay(file: string, options: CommonOptions): Promise<ExitCode> {
  // The stand-ins are imported here, so that the other commands start without loading them.
  const { checkTrace, readTrace, runTrace } = await import("@shedtiller/standins");
  const trace = readTrace(file);
  if (trace.err) return failWithError(trace.val);
  if (process.stderr.isTTY)
    printError(`Replaying ${trace.val.requests.length + trace.val.calls.length} requests …`);
  const record = await runTrace(trace.val);
  const verdict = await checkTrace(record);
  await record.fleet.close();
  if (options.json === true) print(JSON.stringify(verdict));
  else printVerdict(file, verdict);
  return verdict.held ? exitCodes.ok : exitCodes.negativeResult;
}

function printVerdict(file: string, verdict: TraceVerdict): void {
  for (const [id, { outcome, timesRun, firstTokenMs, totalMs }] of Object.entries(verdict.requests)) {
    const first = firstTokenMs === null ? "-" : `${firstTokenMs.toFixed(0)} ms`;
    print(
      `${id.padEnd(24)} ${outcome.padEnd(16)} ran ${timesRun}  first token ${first}  total ${totalMs.toFixed(0)} ms`,
    );
  }
  for (const failure of verdict.failed) print(`FAILED ${failure}`);
  print(verdict.held ? `${file}: held.` : `${file}: did not hold.`);
}
