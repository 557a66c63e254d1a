/** Another instance, as one instance knows it. */

/** What is known of another instance. */
export interface Member {
  readonly name: string;
  readonly availabilityZone: string;
  readonly address: string;
  isLeaving: boolean;
  /** Wall time since when there is no link; undefined while there is one. */
  lostSinceMs: number | undefined;
  /** Monotonic milliseconds since when there is no link. */
  unlinkedSinceMs: number;
  /** The fields of its last heartbeat. */
  heartbeat: Record<string, unknown>;
}
