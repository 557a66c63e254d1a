/**
 * KV cache headroom of engines for bursts. Instances choose engines by load figures that are some hundred milliseconds old. Until the
 * figures are updated, all new requests may go to the same engine (a thundering herd), which rejects those that exceed its free KV cache.
 */
import { utils } from "@shedtiller/common";
import type { CopyEngine, CopyModel } from "./planLayerCopies.js";

/** Maximum age of load figures: they are sent to a collector, and from there to all instances, every 200 ms each. */
const maxLoadAgeMs = 400;
/** An engine without headroom beyond the burst can still serve requests; it counts with this share of its tokens. */
const minUsableShare = 0.3;

/**
 * Returns the number of requests that a zone starts within the maximum age of its load figures, at the best rate of any number of copies
 * with equal memory and mean speed. This is a rough bound based on memory and speed alone: 40 requests for 35 engines with 1,245 GB in
 * total.
 *
 * Returns 0 if one copy is best: all requests then use the same engines, so outdated load figures can't mislead the choice, and headroom
 * would only be lost. In a zone of 13 engines with 288 GB in total, an overloaded day served 0.49 of its value with headroom for ten
 * requests and 0.58 without.
 */
export function getBurstRequests(engines: readonly CopyEngine[], model: CopyModel): number {
  const memoryMb = utils.getSum(engines.map((engine) => engine.memoryMb));
  if (memoryMb === 0) return 0;
  const stepFactor = utils.getSum(engines.map((engine) => engine.memoryMb * engine.stepFactor)) / memoryMb;
  const copyMb = model.layerCount * model.layerMb;
  let best = { copies: 0, perMs: 0 };
  for (let copies = 1; copies * copyMb < memoryMb; copies++) {
    const kvMb = memoryMb / copies - copyMb;
    const requests = kvMb / (model.kvMbPerTokenLayer * model.layerCount * model.tokensPerRequest);
    const tokenMs = stepFactor * (model.stepMs + model.stepMsPerRequest * requests);
    const perMs = (copies * requests) / (tokenMs * model.answerTokens);
    if (perMs > best.perMs) best = { copies, perMs };
  }
  return best.copies > 1 ? best.perMs * maxLoadAgeMs : 0;
}

/** Returns the tokens of an engine's KV cache that remain usable beside a burst. */
export function getTokensBeyondBurst(tokens: number, model: CopyModel): number {
  const burstTokens = (model.burstRequests ?? 0) * model.tokensPerRequest;
  return Math.max(tokens * minUsableShare, tokens - burstTokens);
}
