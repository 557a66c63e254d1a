/** `npm run bench -- NAME [--json] [--seed N]`: runs one benchmark. */
import { cac } from "cac";
import { BenchReport } from "./BenchReport.js";
import { runClaims } from "./claims.js";
import { runControl } from "./control.js";
import { runOverload } from "./overload.js";
import { runRecovery } from "./recovery.js";
import { runRouting } from "./routing.js";
import { runThroughput } from "./throughput.js";

/** A benchmark, which takes at most 60 s. */
type Bench = (report: BenchReport, seed: number) => Promise<void>;

const benches: Readonly<Record<string, Bench>> = {
  claims: runClaims,
  control: runControl,
  overload: runOverload,
  recovery: runRecovery,
  routing: runRouting,
  throughput: runThroughput,
};
const defaultSeed = 1;
const usageStatus = 2;

// Hides the deprecation warning for process.binding, which a dependency of restify uses.
process.noDeprecation = true;

async function main(): Promise<number> {
  const program = cac("bench");
  program.option("--json", "Print JSON lines only").option("--seed <seed>", "Seed of all randomness");
  const { args, options } = program.parse();
  const name = args[0] ?? "";
  const bench = benches[name];
  if (bench === undefined) {
    process.stderr.write(
      `${name === "" ? "Nothing" : name} is not a benchmark. Available benchmarks: ${Object.keys(benches).join(", ")}.\n`,
    );
    return usageStatus;
  }
  const report = new BenchReport(name);
  await bench(report, Number(options["seed"] ?? defaultSeed));
  process.stdout.write(`${options["json"] === true ? report.renderJson() : report.renderTable()}\n`);
  return 0;
}

process.exit(await main());
