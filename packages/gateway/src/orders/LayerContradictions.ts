import { areSameLayers } from "../discovery/layerSpans.js";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";

/**
 * An engine writes a changed entry with its next heartbeat, and the entry is read within a second. A list that reports have contradicted for
 * three heartbeats of a typical deployment is not about to be corrected.
 */
const lastingMs = 4_000;
/** Reports are requested about every second while an order is due; after a longer pause the contradiction counts from its beginning. */
const maxPauseMs = 3_000;

interface Contradiction {
  /** The listed and the reported layers, in their text form. */
  readonly layers: string;
  readonly sinceMs: number;
  readonly lastAtMs: number;
}

/** Remembers how long the reports of engines have shown other layers than the list. */
export class LayerContradictions {
  private readonly _contradictions = new Map<string, Contradiction>();

  /** @param _nowMs - Monotonic clock. */
  constructor(private readonly _nowMs: () => number) {}

  /** Records the layers of a report, and returns whether reports have contradicted the same listed layers for long. */
  note(id: string, listed: readonly LayerSpan[], reported: readonly LayerSpan[]): boolean {
    const nowMs = this._nowMs();
    const before = this._contradictions.get(id);
    this._contradictions.delete(id);
    if (areSameLayers(listed, reported)) return false;
    const layers = JSON.stringify([listed, reported]);
    const isSame = before?.layers === layers && nowMs - before.lastAtMs <= maxPauseMs;
    const sinceMs = isSame ? before.sinceMs : nowMs;
    this._contradictions.set(id, { layers, sinceMs, lastAtMs: nowMs });
    return nowMs - sinceMs >= lastingMs;
  }

  remove(id: string): void {
    this._contradictions.delete(id);
  }
}
