import type { CallerFields, MessageCodec, RawHeaders } from "../http/MessageCodec.js";

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

/** Decodes the headers of a request that is not processed; returns no fields if they can't be decoded. */
export function tryDecodeCaller(codec: MessageCodec, headers: RawHeaders): CallerFields {
  try {
    return codec.decodeCaller(headers);
  } catch {
    return unreadFields;
  }
}
