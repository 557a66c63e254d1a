/** Encoding and decoding of HTTP headers. The header names on the wire are defined by the implementation. */

import type { EndpointStatement } from "./EndpointStatement.js";

/** Raw headers as alternating names and values, as in Node's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** The fields that a caller's request headers contain beyond those of HTTP itself. */
export interface CallerFields {
  readonly requestId: string | undefined;
  /** Time for which the caller waits, from its send. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly promptTokens: number | undefined;
  /** Maximum number of tokens in the answer. */
  readonly maxAnswerTokens: number | undefined;
  /** The caller's estimate of the number of tokens in the answer: correct in the median, often far off. */
  readonly answerTokensHint: number | undefined;
  /** Ids of the parts of the prompt in order. Requests may share parts, except for the last one. */
  readonly promptPartIds: readonly string[];
  /** Id of the last event that the caller has received; the stream resumes after it. */
  readonly lastEventId: string | undefined;
}

/** One engine of a chain and the layers that it runs. */
export interface ChainStage {
  readonly endpointId: string;
  readonly address: string;
  readonly start: number;
  readonly end: number;
}

/** The fields that the gateway sets on a request to an endpoint. */
export interface EndpointFields {
  readonly deadlineMs: number;
  /** Id of the intended endpoint; a process with another id rejects the request without executing it. */
  readonly endpointId: string;
  /** Name of the client account, if requests carry keys. */
  readonly accountName: string | undefined;
  readonly priority: number;
  readonly lastEventId: string | undefined;
  readonly chain: readonly ChainStage[] | undefined;
}

/** The fields that the headers of an endpoint's answer contain beyond those of HTTP itself. */
export interface AnswerFields {
  readonly requestId: string | undefined;
  /** Whether the endpoint states that it did not execute the request. */
  readonly hasNotRun: boolean;
  /** Address of the endpoint at fault, if a chain failed at another stage than its first. */
  readonly faultyAddress: string | undefined;
  /** Whether the body has a content encoding. */
  readonly isEncoded: boolean;
  /** The endpoint's statements about itself. */
  readonly stated: EndpointStatement;
}

/** Reads and writes HTTP headers. */
export abstract class MessageCodec {
  abstract decodeCaller(headers: RawHeaders): CallerFields;
  /** Returns the headers of a request to an endpoint: those of the caller that are forwarded, and those of the gateway. */
  abstract encodeForEndpoint(headers: RawHeaders, fields: EndpointFields): string[];
  abstract decodeAnswer(headers: RawHeaders): AnswerFields;
  /** Returns the headers of an endpoint's answer that are forwarded to the caller. */
  abstract encodeForCaller(headers: RawHeaders): string[];
  /** Returns the headers of a rejection by the gateway itself. */
  abstract encodeRefusal(retryAfterMs: number | undefined): Record<string, string>;
}
