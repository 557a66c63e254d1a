import type { CallerFields } from "../http/MessageCodec.js";

/** The fields of a request until its headers have been decoded. */
export const unreadFields: CallerFields = {
  requestId: undefined,
  deadlineMs: undefined,
  apiKey: undefined,
  promptTokens: undefined,
  maxAnswerTokens: undefined,
  answerTokensHint: undefined,
  promptPartIds: [],
  lastEventId: undefined,
};
