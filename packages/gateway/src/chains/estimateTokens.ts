/** Estimate of the tokens that a request has in the KV cache at its end. */
import type { CallerFields } from "../http/MessageCodec.js";

/** Estimated length of an answer as a share of its maximum, used without a hint of the caller. */
const usualAnswerShare = 0.6;

/** Returns the tokens of the prompt and the estimated tokens of the answer. */
export function estimateTokens(fields: CallerFields): { promptTokens: number; answerTokens: number } {
  const { promptTokens = 0, maxAnswerTokens = 0, answerTokensHint } = fields;
  return { promptTokens, answerTokens: Math.ceil(answerTokensHint ?? maxAnswerTokens * usualAnswerShare) };
}
