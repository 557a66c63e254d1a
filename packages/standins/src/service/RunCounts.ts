/** Counts the runs of requests at all service endpoints of a fleet. */
export class RunCounts {
  /** Number of runs by idempotency key, or by request id for requests without a key. */
  readonly byKey = new Map<string, number>();
  readonly byRequestId = new Map<string, number>();

  /** Counts one run, and returns the number of runs of the key. */
  add(key: string, requestId: string): number {
    const runs = (this.byKey.get(key) ?? 0) + 1;
    this.byKey.set(key, runs);
    this.byRequestId.set(requestId, (this.byRequestId.get(requestId) ?? 0) + 1);
    return runs;
  }
}
