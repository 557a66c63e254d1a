/** The local view of another entry instance. */

/** State of another entry instance as this instance has observed it. */
export interface Member {
  readonly name: string;
  readonly availabilityZone: string;
  readonly address: string;
  isLeaving: boolean;
  /** Wall-clock time at which the link was lost; undefined while the link is open. */
  lostSinceMs: number | undefined;
  /** Monotonic time at which the link was lost. */
  unlinkedSinceMs: number;
  /** Fields of the last received heartbeat. */
  heartbeat: Record<string, unknown>;
}
