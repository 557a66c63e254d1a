/** Base of every typed failure in the project. */

/** Whether the work a failure is about can have run: `no` only where that is provable. */
export type ExecutionStatus = "no" | "unknown";

/** A failure with a type. Subclasses name what went wrong; callers match on the class or on `code`. */
export abstract class ShedtillerError extends Error {
  /** Stable, machine-readable name of the failure, in snake case. */
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A value from outside did not have the expected shape. */
export class InvalidInputError extends ShedtillerError {
  readonly code = "invalid_input";

  /**
   * @param place - Where the value was found: a file, a field, a frame.
   * @param reason - What was wrong with it.
   */
  constructor(
    readonly place: string,
    readonly reason: string,
  ) {
    super(`${place}: ${reason}.`);
  }
}

/** A connection failed before anything was written to it, so that the other side saw nothing. */
export class NotReachedError extends ShedtillerError {
  readonly code = "not_reached";

  constructor(
    readonly address: string,
    cause?: unknown,
  ) {
    super(`${address} could not be reached.`, { cause });
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

/** Something did not happen before its deadline. */
export class DeadlineError extends ShedtillerError {
  readonly code = "deadline_passed";

  constructor(
    readonly what: string,
    readonly afterMs: number,
  ) {
    super(`${what} did not finish within ${Math.round(afterMs)} ms.`);
  }
}

/** Work was given up because its task, caller or process is going away. */
export class CancelledError extends ShedtillerError {
  readonly code = "cancelled";

  constructor(readonly what: string) {
    super(`${what} was cancelled.`);
  }
}

/** A state that the code rules out. Seeing it means a bug here, not a fault outside. */
export class InvariantError extends ShedtillerError {
  readonly code = "invariant_broken";
}
