/** The local view of another entry instance. */

/** State of another entry instance as this instance has observed it. */
export interface Member {
  readonly name: string;
  readonly availabilityZone: string;
  readonly address: string;
  isLeaving: boolean;
  /** Wall-clock time since which there is no open link without doubt; undefined while there is one. */
  lostSinceMs: number | undefined;
  /** Monotonic time at which the link was last lost or came into doubt; before the first link, the time at which the member was added. */
  lostSinceMonotonicMs: number;
  /** Fields of the last received heartbeat. */
  heartbeat: Record<string, unknown>;
}
