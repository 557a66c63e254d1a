/** Engines that are about to stop, and when their streams have to be moved. */
import type { Endpoint } from "../../discovery/Endpoint.js";

/** Moves begin this long before an engine may stop: most streams have ended by then, and the others are moved one after the other. */
const moveLeadMs = 1_500;
/** Moves end this long before, since an instance learns of the draining up to this much later than others. */
const moveMarginMs = 500;
/**
 * If more than this share of a zone's engines has disappeared from the list, the zone is cut off from the list rather than about to stop.
 */
const maxGoneShare = 0.5;

interface LeavingEngine {
  readonly endpoint: Endpoint;
  readonly sinceMs: number;
  /** Whether the engine has stated that it drains; otherwise its entry disappeared. */
  readonly isDraining: boolean;
}

/** An engine whose streams have to be moved now. */
export interface DueEngine {
  readonly endpoint: Endpoint;
  /** Time until the moves have to be complete. */
  readonly leftMs: number;
  /** Time until the engine may stop. */
  readonly stopsInMs: number;
}

/** Remembers the engines that drain, or whose entries have disappeared while they work: such engines serve on for the drain time. */
export class LeavingEngines {
  private readonly _engines = new Map<string, LeavingEngine>();

  /** @param _drainMs - Time for which an engine serves after it has stated that it drains. */
  constructor(private readonly _drainMs: number) {}

  /** Records that an engine has stated that it drains. */
  noteDraining(endpoint: Endpoint, nowMs: number): void {
    this._add({ endpoint, sinceMs: nowMs, isDraining: true });
  }

  /** Records that the entry of an engine has disappeared. One that is suspected has crashed, and its streams are moved for that. */
  noteGone(endpoint: Endpoint, nowMs: number): void {
    if (!endpoint.isSuspect(nowMs)) this._add({ endpoint, sinceMs: nowMs, isDraining: false });
  }

  /** Forgets an engine that is listed again or has restarted. */
  remove(endpointId: string): void {
    this._engines.delete(endpointId);
  }

  /**
   * Returns the engines whose streams have to be moved now.
   * @param countListed - Returns the number of listed engines of a service in a zone.
   */
  getDue(nowMs: number, countListed: (service: string, zone: string) => number): DueEngine[] {
    const due: DueEngine[] = [];
    for (const [id, engine] of this._engines) {
      const stopsInMs = engine.sinceMs + this._drainMs - nowMs;
      if (stopsInMs <= 0) this._engines.delete(id);
      else if (stopsInMs <= moveLeadMs && this._isLeaving(engine, countListed))
        due.push({ endpoint: engine.endpoint, leftMs: stopsInMs - moveMarginMs, stopsInMs });
    }
    return due;
  }

  private _add(engine: LeavingEngine): void {
    const { id } = engine.endpoint;
    if (!this._engines.has(id)) this._engines.set(id, engine);
  }

  private _isLeaving(
    { endpoint, isDraining }: LeavingEngine,
    countListed: (service: string, zone: string) => number,
  ): boolean {
    if (isDraining) return true;
    const { service, availabilityZone } = endpoint.listed;
    const gone = [...this._engines.values()].filter(
      (other) =>
        !other.isDraining &&
        other.endpoint.listed.service === service &&
        other.endpoint.listed.availabilityZone === availabilityZone,
    ).length;
    return gone <= (gone + countListed(service, availabilityZone)) * maxGoneShare;
  }
}
