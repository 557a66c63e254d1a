/** The types of an HTTP/1.1 call, its answer and its errors. */
import type * as http from "node:http";
import { errors } from "@shedtiller/common";
import type { AnswerTooLargeError } from "./AnswerTooLargeError.js";
import type { AnswerMemory } from "./AnswerMemory.js";
import type { ConnectionPath } from "./Connector.js";
import type { EndlessAnswerError } from "./EndlessAnswerError.js";
import type { PathLostError } from "./PathLostError.js";
import { WithdrawnError } from "./WithdrawnError.js";

/** An error that proves that the server did not receive the request. */
export type UnsentError = errors.NotReachedError | WithdrawnError;

/** The error of a call without a usable answer. Only an {@link UnsentError} proves that the server did not receive the request. */
export type CallError =
  | UnsentError
  | errors.ConnectionLostError
  | errors.DeadlineError
  | errors.CancelledError
  | PathLostError
  | AnswerTooLargeError
  | EndlessAnswerError;

/** An HTTP request with its connection options and time limits. */
export interface HttpCall {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Raw headers, without `Connection` and `Content-Length`. */
  readonly headers: readonly string[];
  readonly body?: Buffer | undefined;
  /** Whether to open a new connection, so that a failure to connect proves that nothing was sent. */
  readonly isFresh?: boolean;
  readonly connectTimeoutMs: number;
  /** Maximum time from the call until the headers of the answer have arrived. */
  readonly headTimeoutMs: number;
  readonly signal?: AbortSignal | undefined;
  /** Whether the call may be repeated, so that it ends early if its connection has probably been cut. */
  readonly isRepeatable?: boolean | undefined;
  /** Called in place of such an early end, for a call that is only given up once a repetition has been answered. */
  readonly onPathLost?: (() => void) | undefined;
  /** Called once the connection is established; the call is withdrawn if the request may not be sent any more. */
  readonly mayStillBeSent?: (() => boolean) | undefined;
  /** Called with the path of the connection before anything is sent; undefined for a direct connection. */
  readonly onConnected?: ((path: ConnectionPath | undefined) => void) | undefined;
  /** Called after `onConnected` once the request has arrived, as its answer shows, or can arrive no longer. */
  readonly onOver?: (() => void) | undefined;
}

/** The status and headers of an answer whose body has not been read yet. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly message: http.IncomingMessage;
  /** Aborts when the call is cancelled, as the signal of the call does. */
  readonly signal?: AbortSignal | undefined;
  /** Memory that the body shares with the other answers to the same client. */
  readonly memory?: AnswerMemory | undefined;
  /** Bytes that the connection has received for this answer, including headers and framing. */
  readonly receivedBytes?: number;
  /** Returns whether the body arrived completely. The end of the connection completes a body without a stated length, a reset does not. */
  isWhole(): Promise<boolean>;
  /** Aborts the call and closes its connection. */
  abort(): void;
}

/** An answer with its whole body in memory. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Returns whether an error proves that the server did not receive the request. */
export function isUnsent(error: CallError): error is UnsentError {
  return error instanceof errors.NotReachedError || error instanceof WithdrawnError;
}
