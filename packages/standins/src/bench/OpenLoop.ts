/** Open-loop load generator: requests arrive as a Poisson process, independent of the completion of earlier requests. */
import { utils } from "@shedtiller/common";
import { createPrompt, sendModelRequest, type CallerReport } from "../fleet/CallerClient.js";
import type { Fleet } from "../fleet/Fleet.js";

/** Requests of one client account: their rate and their sizes. */
export interface OpenLoopWorkload {
  readonly account: string;
  readonly requestsPerSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Report of a completed request, with its client account. */
export interface OpenLoopReport extends CallerReport {
  readonly account: string;
}

/** Sends requests of several workloads to all instances for `durationMs`, and waits until all of them have ended. */
export async function runOpenLoop(
  fleet: Fleet,
  model: string,
  layerCount: number,
  workloads: readonly OpenLoopWorkload[],
  durationMs: number,
  seed: number,
): Promise<OpenLoopReport[]> {
  const random = new utils.RandomSource(seed);
  const addresses = await Promise.all(
    [...fleet.instances.keys()].map((name) => fleet.getCallerAddress(name)),
  );
  const startMs = utils.monotonicMs();
  const arrivals = workloads.flatMap((workload) => createArrivals(workload, durationMs, random));
  arrivals.sort((a, b) => a.atMs - b.atMs);
  const pendingReports: Promise<OpenLoopReport>[] = [];
  for (const [index, { workload, atMs }] of arrivals.entries()) {
    const waitMs = startMs + atMs - utils.monotonicMs();
    if (waitMs > 0) await utils.sleep(waitMs);
    const { account, promptTokens, outputTokens } = workload;
    const request = {
      address: random.pick(addresses) ?? "",
      key: fleet.accountKeys.get(account) ?? "",
      model,
      layerCount,
      prompt: createPrompt(`${account}${index}`, promptTokens),
      outputTokens,
    };
    pendingReports.push(sendModelRequest(request).then((report) => ({ ...report, account })));
  }
  return Promise.all(pendingReports);
}

interface Arrival {
  readonly workload: OpenLoopWorkload;
  readonly atMs: number;
}

function createArrivals(
  workload: OpenLoopWorkload,
  durationMs: number,
  random: utils.RandomSource,
): Arrival[] {
  const arrivals: Arrival[] = [];
  const meanMs = utils.msPerSecond / workload.requestsPerSecond;
  for (let atMs = random.nextExponential(meanMs); atMs < durationMs; atMs += random.nextExponential(meanMs)) {
    arrivals.push({ workload, atMs });
  }
  return arrivals;
}
