/** Changes of links to peers, for logs and metrics. */

/**
 * `doubted`: nothing was received on the link for long, `resumed`: something was received on it again. `replaced`: a new link is used instead
 * of it, `finished`: no request waits on the replaced link any more. `expired`: it stayed silent, `closed`: it is gone.
 */
export type LinkChangeKind = "doubted" | "resumed" | "replaced" | "finished" | "expired" | "closed";

/** A change of a link, with what it was decided by. */
export interface LinkChange {
  readonly kind: LinkChangeKind;
  /** Name of the peer. */
  readonly peer: string;
  readonly isDialled: boolean;
  /** Time since something was last received on the link. */
  readonly silentMs: number;
  /** Number of requests in both directions that wait for their replies on the link. */
  readonly pending: number;
}
