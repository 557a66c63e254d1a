/** Error code of a connection that a running machine refuses, since no process listens at the port. */
const refusedCode = "ECONNREFUSED";

/** Returns whether an error of a connection states that it was refused. */
export function isRefused(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause && cause.code === refusedCode;
}
