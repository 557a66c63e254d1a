/** Entry point of the operators' command line. */
import { errors } from "@shedtiller/common";
import { cac } from "cac";
import { runCheck, type CheckOptions } from "./commands/check.js";
import { exitCodes, printError, type CommonOptions, type ExitCode } from "./commands/CommandContext.js";
import { runExplain } from "./commands/explain.js";
import { runKey } from "./commands/key.js";
import { runConfirm, runPlan, runShow } from "./commands/plans.js";
import { runLosses, type LossesOptions } from "./commands/losses.js";
import { runPressure } from "./commands/pressure.js";
import { runReplay } from "./commands/replay.js";
import { runStatus } from "./commands/status.js";
import { runTimeline, type TimelineOptions } from "./commands/timeline.js";

const program = cac("shedtiller");
const asJson = ["--json", "Print JSON"] as const;
const operator = ["--operator <address>", "IP address and port of any instance's operator listener"] as const;

program
  .command("plan <file>", "Submit an intent (JSON or INI) and show the resulting plan")
  .option(...asJson)
  .option(...operator)
  .action((file: string, options: CommonOptions) => runPlan(file, options));
program
  .command("confirm <plan>", "Confirm a plan")
  .option(...asJson)
  .option(...operator)
  .action((plan: string, options: CommonOptions) => runConfirm(plan, options));
program
  .command("show <plan>", "Show a plan and its outcome")
  .option(...asJson)
  .option(...operator)
  .action((plan: string, options: CommonOptions) => runShow(plan, options));
program
  .command("status", "Show each instance with its offset, age and reachability")
  .option(...asJson)
  .option(...operator)
  .action((options: CommonOptions) => runStatus(options));
program
  .command("timeline", "Show the events of all instances, merged")
  .option("--request <id>", "Only events of this request")
  .option("--since <seconds>", "Only events of the last <seconds> seconds")
  .option("--follow", "Keep printing events as they arrive")
  .option("--trace", "Print Trace Event JSON for a trace viewer")
  .option("--json", "Print JSON lines")
  .option(...operator)
  .action((options: TimelineOptions) => runTimeline(options));
program
  .command("replay <trace>", "Replay a recorded trace and compare it with its expected outcomes")
  .option(...asJson)
  .action((trace: string, options: CommonOptions) => runReplay(trace, options));
program
  .command(
    "explain <request> [...logs]",
    "Show the decisions about a request, from the logs of all instances",
  )
  .option(...asJson)
  .action((request: string, logs: string[], options: CommonOptions) => runExplain(request, logs, options));
program
  .command("losses [...logs]", "Count how requests ended, and why some were not served in time")
  .option("--span <seconds>", "Seconds that one row covers (2)")
  .option(...asJson)
  .action((logs: string[], options: LossesOptions) => runLosses(logs, options));
program
  .command("pressure [...addresses]", "Show the decisions under load by zone, as gateways report them")
  .option(...asJson)
  .action((addresses: string[], options: CommonOptions) => runPressure(addresses, options));
program
  .command("check <file>", "Check a settings file and report all its faults")
  .option(
    "--daemon <name>",
    "The daemon that the file is for: entry or gateway (derived from the file's sections)",
  )
  .option(...asJson)
  .action((file: string, options: CheckOptions) => runCheck(file, options));
program
  .command("key", "Create a key for a client account or the operators")
  .option(...asJson)
  .action((options: CommonOptions) => runKey(options));
program.help();

async function main(): Promise<ExitCode> {
  program.parse(process.argv, { run: false });
  if (program.options["help"] === true) return exitCodes.ok;
  if (program.matchedCommand === undefined) {
    printError(`${program.args[0] ?? "Nothing"} is not a command; see shedtiller --help.`);
    return exitCodes.error;
  }
  return (await program.runMatchedCommand()) as ExitCode;
}

try {
  process.exitCode = await main();
} catch (error) {
  printError(errors.describeError(error));
  process.exitCode = exitCodes.error;
}
