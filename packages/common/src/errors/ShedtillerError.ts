/** Base class of the typed errors, and the errors that all packages share. */

/** Whether the work of a failed call may have been executed: `no` only if that is certain. */
export type ExecutionStatus = "no" | "unknown";

/** Base class of all typed errors. Callers match on the class or on `code`. */
export abstract class ShedtillerError extends Error {
  /** Stable, machine-readable name of the error, in snake case. */
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A value from outside the process failed validation. */
export class InvalidInputError extends ShedtillerError {
  readonly code = "invalid_input";

  /**
   * @param place - Location of the value, such as a file, a field or a frame.
   * @param reason - The rule that the value violates.
   */
  constructor(
    readonly place: string,
    readonly reason: string,
  ) {
    super(`${place}: ${reason}.`);
  }
}

/** A connection failed before anything was written to it, so that the other side received nothing. */
export class NotReachedError extends ShedtillerError {
  readonly code = "not_reached";

  constructor(
    readonly address: string,
    cause?: unknown,
  ) {
    super(`${address} could not be reached.`, { cause });
  }
}

/** A server can't listen on its address. */
export class NotListeningError extends ShedtillerError {
  readonly code = "not_listening";

  constructor(
    readonly address: string,
    cause: Error,
  ) {
    super(`The server can't listen on ${address}: ${cause.message}.`, { cause });
  }
}

/** A connection was lost after something was written, so that the other side may have acted on it. */
export class ConnectionLostError extends ShedtillerError {
  readonly code = "connection_lost";

  constructor(
    readonly address: string,
    cause?: unknown,
  ) {
    super(`The connection to ${address} was lost.`, { cause });
  }
}

/** An operation did not finish before its deadline. */
export class DeadlineError extends ShedtillerError {
  readonly code = "deadline_passed";

  constructor(
    readonly operation: string,
    readonly afterMs: number,
  ) {
    super(`${operation} did not finish within ${Math.round(afterMs)} ms.`);
  }
}

/** An operation was aborted because its task, caller or process ended. */
export class CancelledError extends ShedtillerError {
  readonly code = "cancelled";

  constructor(readonly operation: string) {
    super(`${operation} was cancelled.`);
  }
}

/** An internal invariant was violated. This indicates a bug in this program, not a fault of its environment. */
export class InvariantError extends ShedtillerError {
  readonly code = "invariant_broken";
}
