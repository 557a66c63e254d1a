/** Named figures that add up over all instances, and the decisions that the collector of a zone derives from them. */
import { utils } from "@shedtiller/common";
import type { Figures } from "./figures.js";

/** Loads and figures that were not sent again for this long no longer count; two repeats may be lost before. */
export const lapseMs = 1_800;

/** Input of a {@link Decider}: the sums of the figures by availability zone, of the own zone and of those that are reachable. */
export interface ZoneFigures {
  readonly ownZone: string;
  readonly zones: ReadonlyMap<string, Figures>;
  readonly nowMs: number;
}

/** Derives the decisions of a zone from the figures, by key. Called only while this instance is the collector of its zone. */
export type Decider = (figures: ZoneFigures) => Figures;

/**
 * Collects the own figures of this instance, and has the sums of all others and the decisions of the zone's collector as they last arrived.
 * They travel with the load of the endpoints, so that they take no message of their own. Each instance has one such object.
 */
export class SharedFigures {
  private readonly _sources: (() => Figures)[] = [];
  private readonly _deciders: Decider[] = [];
  private _peers: Figures = new Map();
  private _decisions: Figures = new Map();
  private _updatedAtMs = Number.NEGATIVE_INFINITY;

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Adds a source of own figures, which is read before each send. Keys begin with the name of the source and a slash. */
  addSource(getFigures: () => Figures): void {
    this._sources.push(getFigures);
  }

  /** Adds a decider, which is called before each send while this instance is the collector. */
  addDecider(decide: Decider): void {
    this._deciders.push(decide);
  }

  /** Returns the own figures. */
  getOwn(): Figures {
    return new Map(this._sources.flatMap((getFigures) => [...getFigures()]));
  }

  /** Returns the sum of a figure over this instance and all reachable ones; 0 if none has it. */
  getTotal(key: string): number {
    return (this.getOwn().get(key) ?? 0) + this.getPeers(key);
  }

  /** Returns the sum of a figure over all other reachable instances; 0 if none has it. */
  getPeers(key: string): number {
    return this._peers.get(key) ?? 0;
  }

  /** Returns the last decision by its key, from this instance itself while it is the collector; undefined if there is none. */
  getDecision(key: string): number | undefined {
    return this._decisions.get(key);
  }

  /** Returns the last decisions whose keys begin with a prefix, by the rest of the key. */
  getDecisions(prefix: string): Figures {
    const found = [...this._decisions].filter(([key]) => key.startsWith(prefix));
    return new Map(found.map(([key, value]) => [key.slice(prefix.length), value]));
  }

  /** Returns the time since the last update by the collector of this zone; infinite before the first one. */
  getAgeMs(): number {
    return this._nowMs() - this._updatedAtMs;
  }

  /** Whether the sums and decisions have arrived lately, so that they count. */
  get isCurrent(): boolean {
    return this.getAgeMs() <= lapseMs;
  }

  /** Computes the decisions of the zone; used by the collector. */
  decide(figures: ZoneFigures): Figures {
    return new Map(this._deciders.flatMap((decide) => [...decide(figures)]));
  }

  /** Replaces the sums of the other instances and the decisions. */
  update(peers: Figures, decisions: Figures): void {
    this._peers = peers;
    this._decisions = decisions;
    this._updatedAtMs = this._nowMs();
  }
}
