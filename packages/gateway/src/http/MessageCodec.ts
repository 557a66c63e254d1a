/** What the gateway reads from and writes into HTTP heads. The names on the wire belong to the implementation. */

import type { EndpointStatement } from "./EndpointStatement.js";

/** Raw header lines: name, value, name, value, as Node gives them. */
export type RawHeaders = readonly string[];

/** What a caller's head says beyond HTTP itself. */
export interface CallerFields {
  readonly requestId: string | undefined;
  /** How long the caller will wait, from its sending. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly promptTokens: number | undefined;
  /** The most tokens that the answer may have. */
  readonly maxAnswerTokens: number | undefined;
  /** The caller's guess of the answer's tokens: right in the median, often far off. */
  readonly answerTokensHint: number | undefined;
  /** The last event of a stream that the caller has; it goes on after it. */
  readonly lastEventId: string | undefined;
}

/** One engine of a chain and the layers that it runs. */
export interface ChainStage {
  readonly endpointId: string;
  readonly address: string;
  readonly start: number;
  readonly end: number;
}

/** What the gateway sets on a request to an endpoint. */
export interface EndpointFields {
  readonly deadlineMs: number;
  /** Any other start of a process refuses the request without running it. */
  readonly endpointId: string;
  /** Name of the client account, where requests carry keys. */
  readonly accountName: string | undefined;
  readonly priority: number;
  readonly lastEventId: string | undefined;
  readonly chain: readonly ChainStage[] | undefined;
}

/** What an endpoint's head says beyond HTTP itself. */
export interface AnswerFields {
  readonly requestId: string | undefined;
  /** The endpoint states that the request did not run there. */
  readonly hasNotRun: boolean;
  /** The endpoint at fault, where a chain failed elsewhere than at its first stage. */
  readonly faultyAddress: string | undefined;
  readonly isEncoded: boolean;
  /** What the endpoint says of itself. */
  readonly stated: EndpointStatement;
}

/** Reads and writes heads. */
export abstract class MessageCodec {
  abstract decodeCaller(headers: RawHeaders): CallerFields;
  /** Gives the head for an endpoint: the caller's lines that are to be passed on, and ours. */
  abstract encodeForEndpoint(headers: RawHeaders, fields: EndpointFields): string[];
  abstract decodeAnswer(headers: RawHeaders): AnswerFields;
  /** Gives the lines of an endpoint's head that are passed on to the caller. */
  abstract encodeForCaller(headers: RawHeaders): string[];
  /** Gives the head of a refusal of our own. */
  abstract encodeRefusal(retryAfterMs: number | undefined): Record<string, string>;
}
