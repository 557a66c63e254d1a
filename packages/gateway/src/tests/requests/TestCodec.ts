import { emptyStatement, type StatedLimit, type StatedRetryAfter } from "../../http/EndpointStatement.js";
import {
  MessageCodec,
  type AnswerFields,
  type CallerFields,
  type EndpointFields,
  type RawHeaders,
} from "../../http/MessageCodec.js";

function decodeLimit(text: string | undefined): StatedLimit {
  return text === undefined ? { kind: "none" } : { kind: "named", perSecond: Number(text) };
}

function decodeRetryAfter(text: string | undefined): StatedRetryAfter {
  return text === undefined ? { kind: "none" } : { kind: "named", afterMs: Number(text) };
}

/** Id of a request whose headers make the codec fail. */
export const undecodableId = "undecodable";

/** Codec of the tests' headers `x-id`, `x-key`, `x-last`, `x-parts`, `x-not-run`, `x-limit`, `x-rest-ms` and `x-leaving`. */
export class TestCodec extends MessageCodec {
  override decodeCaller(headers: RawHeaders): CallerFields {
    if (lookUp(headers, "x-id") === undecodableId) throw new Error("These headers can't be decoded.");
    return {
      requestId: lookUp(headers, "x-id"),
      deadlineMs: undefined,
      apiKey: lookUp(headers, "x-key"),
      promptTokens: 2,
      maxAnswerTokens: 2,
      answerTokensHint: undefined,
      promptPartIds: lookUp(headers, "x-parts")?.split(",") ?? [],
      lastEventId: lookUp(headers, "x-last"),
    };
  }

  override encodeForEndpoint(headers: RawHeaders, fields: EndpointFields): string[] {
    const lines = ["Host", "notes.example", "x-id", lookUp(headers, "x-id") ?? ""];
    return fields.lastEventId === undefined ? lines : [...lines, "x-last", fields.lastEventId];
  }

  override decodeAnswer(headers: RawHeaders): AnswerFields {
    return {
      requestId: lookUp(headers, "x-id"),
      hasNotRun: lookUp(headers, "x-not-run") !== undefined,
      faultyAddress: undefined,
      isEncoded: false,
      stated: {
        ...emptyStatement,
        limit: decodeLimit(lookUp(headers, "x-limit")),
        retryAfter: decodeRetryAfter(lookUp(headers, "x-rest-ms")),
        isDraining: lookUp(headers, "x-leaving") !== undefined,
      },
    };
  }

  override encodeForCaller(headers: RawHeaders): string[] {
    return ["x-id", lookUp(headers, "x-id") ?? ""];
  }

  override encodeRefusal(retryAfterMs: number | undefined): Record<string, string> {
    return retryAfterMs === undefined ? {} : { "x-retry-after-ms": String(retryAfterMs) };
  }
}

function lookUp(headers: RawHeaders, name: string): string | undefined {
  const index = headers.findIndex((header, at) => at % 2 === 0 && header.toLowerCase() === name);
  return index < 0 ? undefined : headers[index + 1];
}
