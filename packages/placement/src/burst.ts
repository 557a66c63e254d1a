/**
 * Room that engines need for bursts. Those who choose engines know each other's load only as it was some hundred milliseconds before.
 * Until they learn of it, all requests that begin may pass the same engine, and one without room for as many refuses some of them.
 */
import { utils } from "@shedtiller/common";
import type { CopyEngine, CopyModel } from "./planLayerCopies.js";

/** Load is told to a collector, and by it to all, every 200 ms: what is known is up to twice that old. */
const loadAgeMs = 400;
/** An engine with no room beyond the burst still serves something; it counts with this share of its tokens. */
const leastUsableShare = 0.3;

/**
 * Requests that a zone begins within the age of its loads, at the best rate that its engines reach with any number of copies of equal
 * memory and of the mean speed. A rough bound, by memory and speed alone: 40 for 35 engines of 1,245 GB.
 *
 * None where one copy is best: there is no choice that old knowledge could mislead, whatever begins passes the same engines, and room
 * kept for it is lost. Measured on a zone of 13 engines of 288 GB: with ten requests kept an overloaded day earned 0.49 of its worth,
 * without 0.58.
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
  return best.copies > 1 ? best.perMs * loadAgeMs : 0;
}

/** The tokens of an engine that are left beside a burst. */
export function getTokensBeyondBurst(tokens: number, model: CopyModel): number {
  const burstTokens = (model.burstRequests ?? 0) * model.tokensPerRequest;
  return Math.max(tokens * leastUsableShare, tokens - burstTokens);
}
