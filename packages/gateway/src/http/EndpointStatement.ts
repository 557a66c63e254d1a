/** The statements of an endpoint about itself in the headers of its answers. */

/** The rate limit that an endpoint states, in requests per second from all instances together. */
export type StatedLimit =
  | { readonly kind: "none" }
  | { readonly kind: "named"; readonly perSecond: number }
  /** An invalid value; `text` is the value as sent. */
  | { readonly kind: "unreadable"; readonly text: string };

/** The time that an endpoint states after which it accepts requests again. */
export type StatedRetryAfter =
  | { readonly kind: "none" }
  | { readonly kind: "named"; readonly afterMs: number }
  /** An invalid value; `text` is the value as sent. */
  | { readonly kind: "unreadable"; readonly text: string };

/** The load that an endpoint states: requests running and waiting there, from all senders, and the requests that it runs at once. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The state of an endpoint according to the headers of its answer, independent of the request. */
export interface EndpointStatement {
  readonly limit: StatedLimit;
  readonly retryAfter: StatedRetryAfter;
  /** Whether the endpoint is about to stop and accepts no new requests. */
  readonly isDraining: boolean;
  /** Undefined if the endpoint does not state its load. */
  readonly load?: StatedLoad | undefined;
  /** Names, in lower case, of headers that this version does not interpret; they may contain unsupported statements. */
  readonly unknownHeaderNames: readonly string[];
}

/** A statement, with the fields of its answer that decide whether it applies. */
export interface StatedAnswer {
  readonly status: number;
  readonly stated: EndpointStatement;
  /** Monotonic time at which the request was sent. Answers may arrive out of order, so a later one may contain an older statement. */
  readonly sentAtMs: number;
}

/** The statement of an answer without any of these headers. */
export const emptyStatement: EndpointStatement = {
  limit: { kind: "none" },
  retryAfter: { kind: "none" },
  isDraining: false,
  unknownHeaderNames: [],
};
