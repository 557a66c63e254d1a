/** What an endpoint says of itself with an answer, beside the answer. */

/** What an endpoint states of the requests a second that it takes from all instances together. */
export type StatedLimit =
  | { readonly kind: "none" }
  | { readonly kind: "named"; readonly perSecond: number }
  /** Not a number that a limit can have; `text` is what was sent. */
  | { readonly kind: "unreadable"; readonly text: string };

/** When an endpoint states that requests may come back. */
export type StatedRetryAfter =
  | { readonly kind: "none" }
  | { readonly kind: "named"; readonly afterMs: number }
  /** Not a time that can be meant; `text` is what was sent. */
  | { readonly kind: "unreadable"; readonly text: string };

/** All that an answer says of its endpoint, whatever it answers. */
export interface EndpointStatement {
  readonly limit: StatedLimit;
  readonly retryAfter: StatedRetryAfter;
  /** Whether the endpoint will end soon and takes nothing new. */
  readonly isDraining: boolean;
  /** Names, in lower case, of headers that nothing reads; they may state what this version does not know. */
  readonly unknownHeaderNames: readonly string[];
}

/** A statement with what is needed to weigh it. */
export interface StatedAnswer {
  readonly status: number;
  readonly stated: EndpointStatement;
  /** Monotonic time of the request: an answer may have been on its way while another one told something newer. */
  readonly sentAtMs: number;
}

/** Says nothing. */
export const emptyStatement: EndpointStatement = {
  limit: { kind: "none" },
  retryAfter: { kind: "none" },
  isDraining: false,
  unknownHeaderNames: [],
};
