/** The rate of requests that the engines of a zone sustain with their current layers. */
import { utils } from "@shedtiller/common";
import { getKvTokenCapacity, type CopyModel } from "./planLayerCopies.js";
import type { BalancedSpan } from "./ZoneArrangement.js";

/** An engine with its layers, and the number of concurrent requests up to which prompts don't queue there. */
export interface RatedSpan extends BalancedSpan {
  readonly unqueuedRequests: number;
}

/** Sums over the engines that have a layer. */
interface LayerSums {
  requests: number;
  /** Weighted by the requests of each engine. */
  stepMs: number;
  /** Weighted likewise; the sum over all layers is the mean length of a chain. */
  stages: number;
}

/**
 * Returns the requests per second that a zone sustains: the layer with the least room limits the concurrent requests, which the engines of a
 * layer share by their room, and a request lasts as long as its answer. Returns 0 if a layer is missing.
 */
export function getSustainedRate(spans: readonly RatedSpan[], model: CopyModel): number {
  const layers = Array.from({ length: model.layerCount }, () => ({ requests: 0, stepMs: 0, stages: 0 }));
  for (const span of spans) addSpan(layers, span, model);
  const requests = Math.min(...layers.map((layer) => layer.requests));
  if (requests <= 0) return 0;
  const getMean = (getWeighted: (layer: LayerSums) => number): number =>
    utils.getSum(layers.map((layer) => getWeighted(layer) / layer.requests));
  const stepMs = getMean((layer) => layer.stepMs) / model.layerCount;
  const tokenMs = stepMs + model.hopMs * getMean((layer) => layer.stages);
  return (requests * utils.msPerSecond) / (tokenMs * model.answerTokens);
}

function addSpan(layers: readonly LayerSums[], span: RatedSpan, model: CopyModel): void {
  const { engine, start, end, unqueuedRequests } = span;
  const fitting = getKvTokenCapacity(engine, end - start, model) / model.tokensPerRequest;
  const requests = Math.min(fitting, unqueuedRequests);
  const stepMs = engine.stepFactor * (model.stepMs + model.stepMsPerRequest * requests);
  for (const layer of layers.slice(start, end)) {
    layer.requests += requests;
    layer.stepMs += requests * stepMs;
    layer.stages += requests / (end - start);
  }
}
