/**
 * Watches links for silence. Connections may go silent for good without a reset, and only a probe of our own shows it. Heartbeats carry
 * fields and grow rarer with the number of links, 5.7 s at 51 of them; a probe takes six bytes, and only links that are silent anyway get
 * one, so that a silent link is noticed within five seconds at any size for 0.3 KB a second at 51 links.
 */
import { utils } from "@shedtiller/common";
import type { PeerLink } from "./PeerLink.js";

/** The watch looks at its links this often. */
export const watchIntervalMs = 1_000;
/**
 * A link that nothing came over for this long is probed at each look, by the side that dialled it: a probe is a sign of life to the other
 * side as well, which probes a look later by itself. A third look is left before the link is dropped. Both sides at each look made 108
 * frames a second at 27 links, a third of what an instance at rest had to do; this makes 27.
 */
const probeAfterMs = 1_900;
/** A link is dropped after this: above the 3.5 s for which instances freeze and come back, since each link dialled again costs 1 ms. */
const longestSilenceMs = 4_000;
/** A look that comes this much late shows that this instance stood still itself, and proves nothing against its peers. */
export const ownPauseMs = 500;

/** One watch an instance. */
export class LinkWatch {
  private _lookedAtMs: number;

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {
    this._lookedAtMs = this._nowMs();
  }

  /** Looks at all links once: probes those that are silent, and drops those that have been for too long. */
  check(links: Iterable<Pick<PeerLink, "heardAtMs" | "isDialled" | "ping" | "close">>): void {
    const nowMs = this._nowMs();
    const hasPaused = nowMs - this._lookedAtMs > watchIntervalMs + ownPauseMs;
    this._lookedAtMs = nowMs;
    for (const link of [...links]) {
      const silenceMs = nowMs - link.heardAtMs;
      if (silenceMs >= longestSilenceMs && !hasPaused) link.close();
      else if (silenceMs >= getProbeAfterMs(link)) link.ping();
    }
  }
}

function getProbeAfterMs({ isDialled }: Pick<PeerLink, "isDialled">): number {
  return isDialled ? probeAfterMs : probeAfterMs + watchIntervalMs;
}
