/** The tokens that a request is expected to hold in the KV cache at its end. */
import type { CallerFields } from "../http/MessageCodec.js";

/** Without a guess of the caller, an answer is expected to take this share of the most it may have. */
const usualAnswerShare = 0.6;

/** Tokens of the prompt, and those expected of the answer. */
export function expectTokens(fields: CallerFields): { promptTokens: number; answerTokens: number } {
  const { promptTokens = 0, maxAnswerTokens = 0, answerTokensHint } = fields;
  return { promptTokens, answerTokens: Math.ceil(answerTokensHint ?? maxAnswerTokens * usualAnswerShare) };
}
