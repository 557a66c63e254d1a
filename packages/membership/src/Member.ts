/** The local view of another entry instance. */

/** State of another entry instance as this instance has observed it. */
export interface Member {
  readonly name: string;
  readonly availabilityZone: string;
  readonly address: string;
  isLeaving: boolean;
  /** Wall-clock time since which there is no open link; undefined while the link is open. */
  lostSinceMs: number | undefined;
  /** Monotonic time at which the link was last lost; before the first link, the time at which the member was added. */
  lostSinceMonotonicMs: number;
  /** Fields of the last received heartbeat. */
  heartbeat: Record<string, unknown>;
}
