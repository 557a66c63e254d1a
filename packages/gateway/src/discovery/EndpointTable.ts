/** All endpoints that this instance knows, by the store's list and by evidence of its own and of peers. */
import { utils } from "@shedtiller/common";
import type { Change } from "./ChangeFeed.js";
import { Endpoint, type EndpointLoad } from "./Endpoint.js";
import type { ListedEndpoint } from "./ListedEndpoint.js";

/**
 * After the store comes back, endpoints that live may be missing from it for a moment, until their next heartbeat.
 * The platform says about two seconds; one that is missing for longer is gone.
 */
const returnGraceMs = 2_000;
/** First suspicion of an endpoint: two heartbeats of a usual deployment, so that a dead one drops out of the list next. */
const suspicionMs = 3_000;
/** Suspicions of an endpoint that stays silent double up to this; a heartbeat ends them. */
const longestSuspicionMs = 24_000;
/** Suspicions older than this count no more: twice the longest one, so that a dead endpoint's go on doubling. */
const forgottenAfterMs = 2 * longestSuspicionMs;
/** A heartbeat that came this long after the evidence shows that the endpoint lives. */
const clearedByHeartbeatAfterMs = 1_000;

/** What became of an endpoint. */
export type EndpointEvent = "added" | "draining" | "gone" | "layers" | "suspected" | "cleared";
export type EndpointListener = (endpoint: Endpoint, event: EndpointEvent) => void;

/** Holds the endpoints. An endpoint that drains or is gone gets no new work from that moment on. */
export class EndpointTable {
  private readonly _endpoints = new Map<string, Endpoint>();
  private readonly _listeners: EndpointListener[] = [];
  /** Endpoints that the list no longer has, and when they are dropped unless they come back. */
  private readonly _missing = new Map<string, number>();
  private _graceUntilMs = 0;
  /** Whether the list was read at least once. */
  isKnown = false;

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  onChanged(listener: EndpointListener): void {
    this._listeners.push(listener);
  }

  get(id: string): Endpoint | undefined {
    return this._endpoints.get(id);
  }

  getAll(): Endpoint[] {
    return [...this._endpoints.values()];
  }

  getByAddress(address: string): Endpoint | undefined {
    return this.getAll().find((endpoint) => endpoint.listed.address === address);
  }

  /** Endpoints of a service that may get new work. */
  getUsable(service: string): Endpoint[] {
    return this.getAll().filter(
      (endpoint) =>
        endpoint.listed.service === service && !endpoint.listed.isDraining && !this._missing.has(endpoint.id),
    );
  }

  /** Notes that the store is back after it was away. */
  noteStoreReturned(): void {
    this._graceUntilMs = this._nowMs() + returnGraceMs;
  }

  /** Takes the whole list. */
  setAll(values: ReadonlyMap<string, ListedEndpoint>): void {
    this.isKnown = true;
    for (const endpoint of this.getAll()) if (!values.has(endpoint.id)) this._miss(endpoint);
    for (const listed of values.values()) this._set(listed, false);
  }

  /** Takes changes of the list. */
  apply(changes: readonly Change<ListedEndpoint>[]): void {
    for (const change of changes) {
      if (change.value !== undefined) this._set(change.value, true);
      else {
        const endpoint = this._endpoints.get(change.key);
        if (endpoint !== undefined) this._miss(endpoint);
      }
    }
    this.dropMissing();
  }

  /** Drops what has been missing past its grace. */
  dropMissing(): void {
    const nowMs = this._nowMs();
    for (const [id, dropAtMs] of this._missing) if (nowMs >= dropAtMs) this._drop(id);
  }

  /** Notes evidence that an endpoint does not work: it gets no new work for a while. */
  suspect(id: string): boolean {
    const endpoint = this._endpoints.get(id);
    const nowMs = this._nowMs();
    if (endpoint === undefined || endpoint.isSuspect(nowMs)) return false;
    // Heartbeats that change nothing are not told, so a calm time has to count as well.
    if (nowMs - endpoint.suspectedAtMs > forgottenAfterMs) endpoint.suspicions = 0;
    endpoint.suspectedAtMs = nowMs;
    endpoint.suspectUntilMs = nowMs + Math.min(longestSuspicionMs, suspicionMs * 2 ** endpoint.suspicions);
    endpoint.suspicions += 1;
    this._notify(endpoint, "suspected");
    return true;
  }

  /** Takes a suspicion back that turned out to be wrong. */
  clear(id: string): void {
    const endpoint = this._endpoints.get(id);
    if (endpoint === undefined || !endpoint.isSuspect(this._nowMs())) return;
    endpoint.suspectUntilMs = 0;
    endpoint.suspicions -= 1;
    this._notify(endpoint, "cleared");
  }

  /** Takes a peer's load on all endpoints; those not named have none of it. */
  setPeerLoads(peer: string, loads: ReadonlyMap<string, EndpointLoad>): void {
    for (const endpoint of this._endpoints.values()) endpoint.setPeerLoad(peer, loads.get(endpoint.id));
  }

  /** Forgets the load of peers that are no longer reached. */
  keepPeerLoads(peers: ReadonlySet<string>): void {
    for (const endpoint of this._endpoints.values()) endpoint.keepPeerLoads(peers);
  }

  private _set(listed: ListedEndpoint, isHeartbeat: boolean): void {
    this._missing.delete(listed.id);
    const known = this._endpoints.get(listed.id);
    if (known === undefined) return this._add(listed);
    const before = known.listed;
    // A drain is never taken back for the same start of a process.
    known.listed = before.isDraining ? { ...listed, isDraining: true } : listed;
    if (isHeartbeat) this._noteHeartbeat(known);
    if (listed.isDraining && !before.isDraining) this._notify(known, "draining");
    if (JSON.stringify(listed.layers) !== JSON.stringify(before.layers)) this._notify(known, "layers");
  }

  private _add(listed: ListedEndpoint): void {
    const endpoint = new Endpoint(listed);
    this._endpoints.set(listed.id, endpoint);
    this._notify(endpoint, "added");
  }

  private _noteHeartbeat(endpoint: Endpoint): void {
    const nowMs = this._nowMs();
    if (nowMs - endpoint.suspectedAtMs < clearedByHeartbeatAfterMs) return;
    endpoint.suspicions = 0;
    if (!endpoint.isSuspect(nowMs)) return;
    endpoint.suspectUntilMs = 0;
    this._notify(endpoint, "cleared");
  }

  private _miss(endpoint: Endpoint): void {
    const nowMs = this._nowMs();
    if (nowMs >= this._graceUntilMs) return this._drop(endpoint.id);
    if (!this._missing.has(endpoint.id)) this._missing.set(endpoint.id, this._graceUntilMs);
  }

  private _drop(id: string): void {
    this._missing.delete(id);
    const endpoint = this._endpoints.get(id);
    if (endpoint === undefined) return;
    this._endpoints.delete(id);
    this._notify(endpoint, "gone");
  }

  private _notify(endpoint: Endpoint, event: EndpointEvent): void {
    for (const listener of this._listeners) listener(endpoint, event);
  }
}
