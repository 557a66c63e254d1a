/** Why a connection ended before the answer to a request on it. */
export type CloseCause =
  /** The caller closed it. */
  | "caller-left"
  /** An answer on it could not be completed, so that it had to end with the connection. */
  | "answer-broken-off"
  /** The process ended. */
  | "instance-stopped";

/** What is known of a connection that has ended. */
export interface EndedConnection {
  readonly hasCallerEnded: boolean;
  readonly isStopped: boolean;
}

/** Returns why a connection ended. */
export function getCloseCause({ hasCallerEnded, isStopped }: EndedConnection): CloseCause {
  if (hasCallerEnded) return "caller-left";
  return isStopped ? "instance-stopped" : "answer-broken-off";
}
