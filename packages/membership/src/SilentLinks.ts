/** Peer links that are open but have been silent for some heartbeats. */
import type { PeerLink } from "./PeerLink.js";

/** Changes that one update has found, as names of peers. */
export interface SilenceChanges {
  readonly silent: readonly string[];
  readonly resumed: readonly string[];
}

/**
 * Tracks the peers whose links are silent. Such a peer takes no roles, but its link stays open until `LinkFailureDetector`
 * closes it: a peer that was suspended for a moment still answers the requests that it has.
 */
export class SilentLinks {
  private readonly _names = new Set<string>();

  has(name: string): boolean {
    return this._names.has(name);
  }

  remove(name: string): boolean {
    return this._names.delete(name);
  }

  /** Compares the times at which the links last received something with `nowMs`. */
  update(
    links: Iterable<Pick<PeerLink, "peer" | "lastReceivedAtMs">>,
    maxSilenceMs: number,
    nowMs: number,
  ): SilenceChanges {
    const silent: string[] = [];
    const resumed: string[] = [];
    for (const { peer, lastReceivedAtMs } of links) {
      const isSilent = nowMs - lastReceivedAtMs > maxSilenceMs;
      if (isSilent === this._names.has(peer.name)) continue;
      if (isSilent) this._names.add(peer.name);
      else this._names.delete(peer.name);
      (isSilent ? silent : resumed).push(peer.name);
    }
    return { silent, resumed };
  }
}
