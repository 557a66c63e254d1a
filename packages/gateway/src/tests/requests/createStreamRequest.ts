/** A streamed request without a network. */
import { EventEmitter } from "node:events";
import type * as http from "node:http";
import type { MessageCodec } from "../../http/MessageCodec.js";
import { CallerRequest } from "../../requests/CallerRequest.js";
import { createRoute } from "../createParts.js";

/** Creates a request for a stream of a few tokens. */
export function createStreamRequest(requestId: string, isResumable = true): CallerRequest {
  return new CallerRequest({
    message: new EventEmitter() as http.IncomingMessage,
    response: new EventEmitter() as http.ServerResponse,
    fields: {
      requestId,
      promptTokens: 2,
      maxAnswerTokens: 2,
      deadlineMs: undefined,
      apiKey: undefined,
      answerTokensHint: undefined,
      lastEventId: undefined,
    },
    route: createRoute({ kind: "streaming", isResumable }),
    account: undefined,
    body: Buffer.alloc(0),
    arrivedAtMs: 0,
    codec: {} as MessageCodec,
    isDraining: () => false,
  });
}
