/** Choice of the first engines of a zone's copies. The order of the engines in a chain changes neither its memory nor its speed. */
import { utils } from "@shedtiller/common";
import type { CopyEngine, CopyModel } from "./planLayerCopies.js";

/** If several engines have a layer, requests prefer the fastest: their shares fall with this power of the step factor. */
export const preferencePower = 3;

/**
 * Usual weight of the concentration of first engines. A second, equal first engine is worth half of it, 5 % of the rate, which alone is
 * below the gain for which a serving zone is rearranged.
 */
export const usualFirstEngineWeight = 0.1;

/**
 * First engines whose step factors differ by less than this share the streams: the faster one fills first, and then costs as much as the
 * slower one.
 */
const maxFactorRatio = 3;

/**
 * Number of copies of the model that the memory of a zone has to hold for its first engines to be spread. With fewer, each chain that is
 * not the cheapest takes capacity that the zone needs after the loss of an engine.
 */
const minCopies = 4;

/** Returns whether the engines of a zone have memory for so many copies of the model that streams may be spread over first engines. */
export function canSpreadFirstEngines(
  engines: readonly Pick<CopyEngine, "memoryMb">[],
  model: Pick<CopyModel, "layerCount" | "layerMb">,
): boolean {
  const memoryMb = utils.getSum(engines.map((engine) => engine.memoryMb));
  return memoryMb >= minCopies * model.layerCount * model.layerMb;
}

/**
 * Moves an engine to the front of each chain so that the first engines are about equally fast: requests prefer the fastest one, and its
 * loss cuts the streams that began there. A single chain stays as it is.
 */
export function equalizeFirstEngines(chains: readonly (readonly CopyEngine[])[]): (readonly CopyEngine[])[] {
  if (chains.length < 2 || getRatio(chains) <= maxFactorRatio) return [...chains];
  const factors = [...new Set(chains.flat().map((engine) => engine.stepFactor))].sort((a, b) => a - b);
  let best: readonly (readonly CopyEngine[])[] = chains;
  for (const factor of factors) {
    const candidate = chains.map((chain) => putFirst(chain, factor));
    if (getSpread(candidate) < getSpread(best)) best = candidate;
  }
  return [...best];
}

/** Moves the engine whose speed is closest to a step factor to the front. */
function putFirst(chain: readonly CopyEngine[], factor: number): readonly CopyEngine[] {
  const getDistance = (engine: CopyEngine): number => Math.abs(Math.log(engine.stepFactor / factor));
  const [first] = [...chain].sort((a, b) => getDistance(a) - getDistance(b));
  return first === undefined ? chain : [first, ...chain.filter((engine) => engine !== first)];
}

/** Returns the ratio of the slowest first engine's step factor to that of the fastest. */
function getRatio(chains: readonly (readonly CopyEngine[])[]): number {
  const factors = getFirstFactors(chains);
  return Math.max(...factors) / Math.min(...factors);
}

/** Returns how much the speeds of the first engines differ: the sum of the distances from the fastest, as logarithms. */
function getSpread(chains: readonly (readonly CopyEngine[])[]): number {
  const factors = getFirstFactors(chains);
  const fastest = Math.min(...factors);
  return utils.getSum(factors.map((factor) => Math.log(factor / fastest)));
}

function getFirstFactors(chains: readonly (readonly CopyEngine[])[]): number[] {
  return chains.flatMap(([first]) => first?.stepFactor ?? []);
}

/**
 * Returns the probability that two streams begin at the same one of a zone's first engines: 1 for one engine, 1/n for n equal ones. Requests
 * prefer the fastest engines; those that are not much slower share the streams by their memory.
 * @param tokens - The usable tokens of each engine with the first layer.
 */
export function getFirstConcentration(tokens: ReadonlyMap<CopyEngine, number>): number {
  const fastest = Math.min(...[...tokens.keys()].map((engine) => engine.stepFactor));
  let sum = 0;
  let squares = 0;
  for (const [engine, usable] of tokens) {
    const delay = Math.max(1, engine.stepFactor / (maxFactorRatio * fastest));
    const share = usable / delay ** preferencePower;
    sum += share;
    squares += share ** 2;
  }
  return sum <= 0 ? 1 : squares / sum ** 2;
}
