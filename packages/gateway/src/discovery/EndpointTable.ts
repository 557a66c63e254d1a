/** All endpoints that this instance knows, by the store's list and by evidence of its own and of peers. */
import { utils } from "@shedtiller/common";
import type { Change } from "./ChangeFeed.js";
import { Endpoint, lifeSeparator, type AssumedPeers, type EndpointLoad } from "./Endpoint.js";
import type { LayerSpan, ListedEndpoint } from "./ListedEndpoint.js";

/**
 * After the store comes back, endpoints that live may be missing from it for a moment, until their next heartbeat.
 * The platform says about two seconds; one that is missing for longer is gone.
 */
const returnGraceMs = 2_000;
/**
 * An endpoint under whose id something unreadable was written gets nothing new, and counts as gone after this: two heartbeats of a usual
 * deployment, in which an endpoint that lives has written again.
 */
const unreadableGraceMs = 2_400;
/**
 * Starts of endpoints, and lives that said that they leave, that are remembered beyond their entries: a late word of an earlier life is
 * known as such, and an entry that comes back takes no leaving back.
 */
const mostRemembered = 4_096;
/** First suspicion of an endpoint: two heartbeats of a usual deployment, so that a dead one drops out of the list next. */
const suspicionMs = 3_000;
/** Suspicions of an endpoint that stays silent double up to this; a heartbeat ends them. */
const longestSuspicionMs = 24_000;
/** Suspicions older than this count no more: twice the longest one, so that a dead endpoint's go on doubling. */
const forgottenAfterMs = 2 * longestSuspicionMs;
/** A heartbeat that came this long after the evidence shows that the endpoint lives. */
const clearedByHeartbeatAfterMs = 1_000;

/** What became of an endpoint; `restarted` takes the place of `gone` for one whose process is another one under the same id. */
export type EndpointEvent = "added" | "draining" | "gone" | "restarted" | "layers" | "suspected" | "cleared";
/** How a word of an endpoint stands to the life of its process that is known. */
export type LifeOrder = "same" | "newer" | "earlier";
export type EndpointListener = (endpoint: Endpoint, event: EndpointEvent) => void;

/** Holds the endpoints. An endpoint that drains or is gone gets no new work from that moment on. */
export class EndpointTable {
  private readonly _endpoints = new Map<string, Endpoint>();
  private readonly _listeners: EndpointListener[] = [];
  /** Endpoints that the list no longer has, and when they are dropped unless they come back. */
  private readonly _missing = new Map<string, number>();
  /** Unix milliseconds of the newest start known of each id; the oldest ids first. */
  private readonly _newestStarts = new Map<string, number>();
  /** Lives that said themselves that they leave; the oldest first. */
  private readonly _leavingLives = new Set<string>();
  private _graceUntilMs = 0;
  private readonly _assumedPeers: AssumedPeers = { count: 0 };
  private _mayAssumePeers = true;
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

  /**
   * Takes an engine's own word on the layers that it holds, which is newer than the list's.
   * @returns Whether the list had others. An endpoint that has been replaced meanwhile has none to take.
   */
  setLayers(endpoint: Endpoint, layers: readonly LayerSpan[]): boolean {
    if (this._endpoints.get(endpoint.id) !== endpoint) return false;
    if (JSON.stringify(layers) === JSON.stringify(endpoint.listed.layers)) return false;
    endpoint.listed = { ...endpoint.listed, layers: [...layers] };
    this._notify(endpoint, "layers");
    return true;
  }

  /** The endpoint of an id, if it is in the life that a peer speaks of. */
  getLife(lifeId: string): Endpoint | undefined {
    const endpoint = this._endpoints.get(lifeId.split(lifeSeparator)[0] ?? "");
    return endpoint?.lifeId === lifeId ? endpoint : undefined;
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
      else this._unlist(change);
    }
    this.dropMissing();
  }

  /**
   * Takes word of the start of an endpoint's process.
   * @param layers - What it holds; nothing is taken for granted of an earlier life.
   * @returns Whether the word is of the life that is known now, of a newer one or of an earlier one, which changes nothing.
   */
  noteStart(id: string, bornAtMs: number | undefined, layers: readonly LayerSpan[]): LifeOrder {
    const endpoint = this._endpoints.get(id);
    const order = this._compareLives(id, bornAtMs);
    if (order === "newer" && endpoint !== undefined)
      this._restart(endpoint, { ...endpoint.listed, bornAtMs, layers: [...layers], isDraining: false });
    return order;
  }

  /**
   * Takes an endpoint's own word that it leaves, also where its entry says otherwise or is not known yet. Only a new life ends it.
   * @returns Whether that was news.
   */
  noteDraining(lifeId: string): boolean {
    if (this._leavingLives.has(lifeId)) return false;
    this._leavingLives.add(lifeId);
    const [oldest] = this._leavingLives;
    if (this._leavingLives.size > mostRemembered && oldest !== undefined) this._leavingLives.delete(oldest);
    const endpoint = this.getLife(lifeId);
    if (endpoint === undefined || endpoint.listed.isDraining) return endpoint === undefined;
    endpoint.listed = { ...endpoint.listed, isDraining: true };
    this._notify(endpoint, "draining");
    return true;
  }

  /** Lives of listed endpoints that said themselves that they leave. */
  getDrainingLives(): string[] {
    return this.getAll().flatMap(({ lifeId }) => (this._leavingLives.has(lifeId) ? [lifeId] : []));
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

  /**
   * Takes the others' load to be like this instance's own until one of them has told its load. After a start of all nobody knows anything
   * for the first second: each instance then takes the same cheapest chains, and where callers come twice as fast as usual, 5 in 100
   * requests are refused by engines; with this it is under 1 in 100, at 5 in 100 more time a token (test of many choosers).
   */
  assumePeers(count: number): void {
    if (this._mayAssumePeers) this._assumedPeers.count = count;
  }

  /** From now on only what peers tell counts. */
  endAssumption(): void {
    this._mayAssumePeers = false;
    this._assumedPeers.count = 0;
  }

  /** Takes a peer's load on all endpoints, by the ids of their lives; those not named have none of it. */
  setPeerLoads(peer: string, loads: ReadonlyMap<string, EndpointLoad>): void {
    this.endAssumption();
    for (const endpoint of this._endpoints.values()) endpoint.setPeerLoad(peer, loads.get(endpoint.lifeId));
  }

  /** Forgets the load of peers that are no longer reached. */
  keepPeerLoads(peers: ReadonlySet<string>): void {
    for (const endpoint of this._endpoints.values()) endpoint.keepPeerLoads(peers);
  }

  private _set(listed: ListedEndpoint, isHeartbeat: boolean): void {
    const order = this._compareLives(listed.id, listed.bornAtMs);
    if (order === "earlier") return;
    this._missing.delete(listed.id);
    const known = this._endpoints.get(listed.id);
    if (known === undefined) return this._add(listed);
    if (order === "newer") return this._restart(known, listed);
    const before = known.listed;
    // A drain is never taken back for the same start of a process.
    known.listed = before.isDraining ? { ...listed, isDraining: true } : listed;
    if (isHeartbeat) this._noteHeartbeat(known);
    if (listed.isDraining && !before.isDraining) this._notify(known, "draining");
    if (JSON.stringify(listed.layers) !== JSON.stringify(before.layers)) this._notify(known, "layers");
  }

  /** An endpoint that tells its start always does; a word without one is then not its own. */
  private _compareLives(id: string, bornAtMs: number | undefined): LifeOrder {
    const newest = this._newestStarts.get(id);
    if (newest === undefined) {
      if (bornAtMs !== undefined) this._rememberStart(id, bornAtMs);
      return "same";
    }
    if (bornAtMs === undefined || bornAtMs < newest) return "earlier";
    if (bornAtMs === newest) return "same";
    this._rememberStart(id, bornAtMs);
    return "newer";
  }

  private _rememberStart(id: string, bornAtMs: number): void {
    this._newestStarts.delete(id);
    this._newestStarts.set(id, bornAtMs);
    const [oldest] = this._newestStarts.keys();
    if (this._newestStarts.size > mostRemembered && oldest !== undefined) this._newestStarts.delete(oldest);
  }

  /**
   * An endpoint that starts again is another one: what it held, its load, room, suspicions and resets are those of a process that is
   * gone, and work that passes it is lost.
   */
  private _restart(before: Endpoint, listed: ListedEndpoint): void {
    this._missing.delete(before.id);
    const endpoint = this._create(listed);
    this._endpoints.set(listed.id, endpoint);
    this._notify(before, "restarted");
    this._notify(endpoint, "added");
  }

  /** An entry that was dropped is gone, unless the store has just come back; one that can't be read may be written anew. */
  private _unlist({ key, isUnreadable }: Change<ListedEndpoint>): void {
    const endpoint = this._endpoints.get(key);
    if (endpoint === undefined) return;
    if (isUnreadable !== true) return this._miss(endpoint);
    if (!this._missing.has(key)) this._missing.set(key, this._nowMs() + unreadableGraceMs);
  }

  private _add(listed: ListedEndpoint): void {
    const endpoint = this._create(listed);
    this._endpoints.set(listed.id, endpoint);
    this._notify(endpoint, "added");
  }

  private _create(listed: ListedEndpoint): Endpoint {
    const endpoint = new Endpoint(listed, this._assumedPeers);
    if (this._leavingLives.has(endpoint.lifeId)) endpoint.listed = { ...listed, isDraining: true };
    return endpoint;
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
