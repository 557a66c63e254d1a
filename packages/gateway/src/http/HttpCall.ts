/** A call over HTTP/1.1, its answer, and why it gave none. */
import type * as http from "node:http";
import type { errors } from "@shedtiller/common";
import type { AnswerTooLargeError } from "./AnswerTooLargeError.js";

/** Why a call gave no usable answer. Only `NotReachedError` proves that the other side saw nothing. */
export type CallError =
  | errors.NotReachedError
  | errors.ConnectionLostError
  | errors.DeadlineError
  | errors.CancelledError
  | AnswerTooLargeError;

/** One call. */
export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Raw header lines, without those that frame the body. */
  readonly headers: readonly string[];
  readonly body?: Buffer | undefined;
  /** Uses a connection of its own, so that a failure before it stands proves that nothing was sent. */
  readonly isFresh?: boolean;
  readonly connectTimeoutMs: number;
  /** Time from the call until the head of the answer. */
  readonly headTimeoutMs: number;
  readonly signal?: AbortSignal | undefined;
}

/** The head of an answer; the body is still to be read. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly message: http.IncomingMessage;
  /** Whether the answer came whole. An answer without a length ends with its connection; a reset one is not whole. */
  isWhole(): Promise<boolean>;
  /** Ends the call and its connection. */
  abort(): void;
}

/** A whole answer. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}
