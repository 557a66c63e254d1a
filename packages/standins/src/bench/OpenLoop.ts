/** Callers that arrive by themselves, whether or not earlier requests have ended (a Poisson process). */
import { utils } from "@shedtiller/common";
import { createPrompt, sendModelRequest, type CallerReport } from "../fleet/CallerClient.js";
import type { Fleet } from "../fleet/Fleet.js";

/** What one kind of callers sends. */
export interface OpenLoopKind {
  readonly account: string;
  readonly requestsPerSecond: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** One ended request. */
export interface OpenLoopReport extends CallerReport {
  readonly account: string;
}

/** Sends requests of several kinds for a while over all instances, and waits for the last. */
export async function runOpenLoop(
  fleet: Fleet,
  model: string,
  layerCount: number,
  kinds: readonly OpenLoopKind[],
  durationMs: number,
  seed: number,
): Promise<OpenLoopReport[]> {
  const random = new utils.RandomSource(seed);
  const addresses = await Promise.all(
    [...fleet.instances.keys()].map((name) => fleet.getCallerAddress(name)),
  );
  const startMs = utils.monotonicMs();
  const arrivals = kinds.flatMap((kind) => createArrivals(kind, durationMs, random));
  arrivals.sort((a, b) => a.atMs - b.atMs);
  const sent: Promise<OpenLoopReport>[] = [];
  for (const [index, { kind, atMs }] of arrivals.entries()) {
    const waitMs = startMs + atMs - utils.monotonicMs();
    if (waitMs > 0) await utils.sleep(waitMs);
    const { account, promptTokens, outputTokens } = kind;
    const request = {
      address: random.pick(addresses) ?? "",
      key: fleet.accountKeys.get(account) ?? "",
      model,
      layerCount,
      prompt: createPrompt(`${account}${index}`, promptTokens),
      outputTokens,
    };
    sent.push(sendModelRequest(request).then((report) => ({ ...report, account })));
  }
  return Promise.all(sent);
}

interface Arrival {
  readonly kind: OpenLoopKind;
  readonly atMs: number;
}

function createArrivals(kind: OpenLoopKind, durationMs: number, random: utils.RandomSource): Arrival[] {
  const arrivals: Arrival[] = [];
  const meanMs = utils.msPerSecond / kind.requestsPerSecond;
  for (let atMs = random.nextExponential(meanMs); atMs < durationMs; atMs += random.nextExponential(meanMs)) {
    arrivals.push({ kind, atMs });
  }
  return arrivals;
}
