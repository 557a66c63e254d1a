/** Benchmark of claims: the latency that a claim adds to a call and the load on the log, by rate of calls over eight instances. */
import { results, utils } from "@shedtiller/common";
import { AtMostOnceExecutor, ClaimBatcher, ClaimProjection, claimsStream } from "@shedtiller/claims";
import { HttpLogService, LogFollower } from "@shedtiller/logservice";
import { Timeline } from "@shedtiller/timeline";
import { StandInLog } from "../platform/StandInLog.js";
import type { BenchReport } from "./BenchReport.js";

const instanceCount = 8;
const rates = [10, 100, 400, 1_000];
const measureMs = 6_000;
const appendsPerSecond = 100;
const horizonMs = 600_000;

/** Runs the benchmark. */
export async function runClaims(report: BenchReport, seed: number): Promise<void> {
  for (const rate of rates) await measure(report, seed, rate);
}

async function measure(report: BenchReport, seed: number, callsPerSecond: number): Promise<void> {
  const log = new StandInLog({ appendsPerSecond, appendMs: 2 });
  await log.start();
  const stop = new AbortController();
  const instances = Array.from({ length: instanceCount }, (_value, index) =>
    createInstance(log, `e${index + 1}`, stop.signal),
  );
  const random = new utils.RandomSource(seed);
  const durationsMs: number[] = [];
  const calls: Promise<void>[] = [];
  let refused = 0;
  const startMs = utils.monotonicMs();
  for (
    let dueMs = startMs;
    dueMs < startMs + measureMs;
    dueMs += random.nextExponential(utils.msPerSecond / callsPerSecond)
  ) {
    const waitMs = dueMs - utils.monotonicMs();
    if (waitMs > 1) await utils.sleep(waitMs);
    const executor = random.pick(instances);
    if (executor === undefined) continue;
    calls.push(
      call(executor).then((durationMs) => {
        if (durationMs === undefined) refused += 1;
        else durationsMs.push(durationMs);
      }),
    );
  }
  await Promise.all(calls);
  const tookS = (utils.monotonicMs() - startMs) / utils.msPerSecond;
  stop.abort();
  await log.close();
  const variant = `${callsPerSecond} calls/s`;
  report.add(variant, "added p50", utils.getQuantile(durationsMs, 0.5), "ms");
  report.add(variant, "added p95", utils.getQuantile(durationsMs, 0.95), "ms");
  report.add(variant, "appends", log.appendCount / tookS, "1/s");
  report.add(variant, "bytes a call", log.appendedBytes / Math.max(1, calls.length), "B");
  report.add(variant, "refused", refused, "");
}

/** Runs a call without work. Returns the duration of the claim in milliseconds, or undefined if the call was refused. */
async function call(executor: AtMostOnceExecutor<string>): Promise<number | undefined> {
  const startMs = utils.monotonicMs();
  const outcome = await executor.run(utils.newId(), {
    requestId: "bench",
    deadlineMs: startMs + 10_000,
    signal: new AbortController().signal,
    run: async () => results.Ok("done"),
  });
  return outcome.ok ? utils.monotonicMs() - startMs : undefined;
}

function createInstance(standIn: StandInLog, name: string, signal: AbortSignal): AtMostOnceExecutor<string> {
  const log = new HttpLogService(standIn.address);
  const projection = new ClaimProjection(horizonMs);
  void new LogFollower(log, claimsStream, projection).run(signal);
  const batcher = new ClaimBatcher(
    { log, holder: name, appendsPerSecond, countAppenders: () => instanceCount },
    signal,
  );
  const requestFromHolder = async (): Promise<undefined> => undefined;
  return new AtMostOnceExecutor<string>({
    projection,
    batcher,
    timeline: new Timeline(name),
    holder: name,
    answersKept: 10_000,
    requestFromHolder,
  });
}
