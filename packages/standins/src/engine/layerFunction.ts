/**
 * Computation of the stand-in engines. Each layer mixes its input with its own cache, so that the token at a position depends on the
 * ordered execution of every layer at every earlier position. Each wrong, duplicate or missing execution, and each one for another
 * request, therefore changes the answer.
 */

/** Number of distinct tokens. */
export const vocabularySize = 32_768;
/** Size in bytes of the activation of one position. */
export const activationBytes = 4;

function mix(a: number, b: number): number {
  let h = Math.imul(a ^ b, 0x9e3779b1);
  h = Math.imul(h ^ (h >>> 15), 0x85ebca77);
  return (h ^ (h >>> 13)) >>> 0;
}

/** Returns the input of layer 0 for a token at a position. */
export function embed(token: number, position: number): number {
  return mix(token + 1, Math.imul(position + 1, 0x27d4eb2f));
}

/** Applies layers [first, first + cache.length) to one position and updates the cache. */
export function applyLayers(first: number, cache: Uint32Array, input: number): number {
  let value = input;
  for (let index = 0; index < cache.length; index++) {
    const state = mix(cache[index] ?? 0, value);
    cache[index] = state;
    value = mix(state, first + index + 1);
  }
  return value;
}

/** Returns the token that the output of the last layer encodes. */
export function unembed(output: number): number {
  return output % vocabularySize;
}

/** Returns the expected answer of a model, computed without any engine. */
export function getExpectedTokens(prompt: readonly number[], layerCount: number, count: number): number[] {
  const cache = new Uint32Array(layerCount);
  const answer: number[] = [];
  let output = 0;
  for (const [position, token] of prompt.entries()) output = applyLayers(0, cache, embed(token, position));
  for (let index = 0; index < count; index++) {
    const token = unembed(output);
    answer.push(token);
    output = applyLayers(0, cache, embed(token, prompt.length + index));
  }
  return answer;
}
