import { utils } from "@shedtiller/common";
import type { Change } from "./ChangeFeed.js";
import { Endpoint, getLifeId, lifeSeparator, type AssumedPeers, type EndpointLoad } from "./Endpoint.js";
import { EndpointTrial } from "./EndpointTrial.js";
import { areSameLayers } from "./layerSpans.js";
import type { LayerSpan, ListedEndpoint, MissingEndpoint } from "./ListedEndpoint.js";
import { isStronger, type SuspicionEvidence } from "./SuspicionEvidence.js";

/**
 * Grace period for entries that are missing after the store has recovered: live endpoints may be absent until their next heartbeat, for
 * about 2 s according to the platform. An endpoint that is missing for longer is gone.
 */
const recoveryGraceMs = 2_000;
/**
 * An endpoint whose entry was overwritten with an unreadable value gets no new work, and counts as gone after this time: two heartbeats of
 * a typical deployment, in which a live endpoint has written its entry again.
 */
const unreadableGraceMs = 2_400;
/**
 * Maximum number of process starts and draining lives that are remembered beyond their entries, so that a late report of an earlier life is
 * recognised, and an entry that reappears does not undo the draining.
 */
const maxRememberedLives = 4_096;
/** Maximum number of lives whose back-offs, limits and failures are kept beyond their entries; the least recently removed is dropped first. */
const maxFormerLives = 1_024;
/**
 * Duration of the first suspicion of an endpoint: two heartbeats of a typical deployment, after which a dead endpoint drops out of the
 * list.
 */
const suspicionMs = 3_000;
/** The suspicions of a silent endpoint double in duration up to this maximum; a heartbeat ends them. */
const maxSuspicionMs = 24_000;
/**
 * Earlier suspicions no longer count after this time: twice the maximum duration, so that the suspicions of a dead endpoint keep doubling.
 */
const suspicionMemoryMs = 2 * maxSuspicionMs;
/** A heartbeat that arrives at least this long after the evidence shows that the endpoint is alive. */
const minHeartbeatDelayMs = 1_000;

/**
 * A change of an endpoint; `restarted` replaces `gone` if a new process runs under the same id, `confirmed` follows `suspected` if stronger
 * evidence arrives, and `tried` if the endpoint gets a request nevertheless.
 */
export type EndpointEvent =
  "added" | "draining" | "gone" | "restarted" | "layers" | "suspected" | "confirmed" | "tried" | "cleared";
/** How a report on an endpoint relates to the known life of the endpoint's process. */
export type LifeOrder = "same" | "newer" | "earlier";
export type EndpointListener = (endpoint: Endpoint, event: EndpointEvent) => void;

/**
 * Stores all known endpoints, as given by the store's list and by the observations of this instance and its peers. An endpoint that
 * drains or is gone gets no new work from that moment on.
 */
export class EndpointTable {
  private readonly _endpoints = new Map<string, Endpoint>();
  private readonly _listeners: EndpointListener[] = [];
  /** By the id of an endpoint that is missing from the list: monotonic time at which the endpoint is dropped unless it reappears. */
  private readonly _missing = new Map<string, number>();
  /** The latest known start of each endpoint id in Unix milliseconds; the least recently updated id comes first. */
  private readonly _newestStarts = new Map<string, number>();
  /** Lives of endpoints that have stated that they are draining; the oldest come first. */
  private readonly _drainingLives = new Set<string>();
  /** Endpoints whose entries were removed, by life. An entry may lapse and be written again while its endpoint goes on. */
  private readonly _formerLives = new utils.BoundedMap<Endpoint>(maxFormerLives);
  private _graceUntilMs = 0;
  private readonly _assumedPeers: AssumedPeers = { count: 0 };
  private _mayAssumePeers = true;
  /** Whether the list was read at least once. */
  hasList = false;

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  onChanged(listener: EndpointListener): void {
    this._listeners.push(listener);
  }

  get(id: string): Endpoint | undefined {
    return this._endpoints.get(id);
  }

  /**
   * Sets the layers that an engine reported itself, which are more recent than those in the list.
   * @returns Whether the list had other layers; false for an endpoint that has been replaced in the meantime.
   */
  setLayers(endpoint: Endpoint, layers: readonly LayerSpan[]): boolean {
    if (this._endpoints.get(endpoint.id) !== endpoint) return false;
    if (areSameLayers(layers, endpoint.listed.layers)) return false;
    endpoint.listed = { ...endpoint.listed, layers: [...layers] };
    this._notify(endpoint, "layers");
    return true;
  }

  /** Returns the endpoint of a life, if that life is the current one. */
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

  /** Returns the entries that the list contains, which are not those of missing endpoints. */
  getListed(): ListedEndpoint[] {
    return this.getAll().flatMap(({ id, listed }) => (this._missing.has(id) ? [] : [listed]));
  }

  /** Returns the endpoints that are kept although their entries are missing, except those whose grace period is over. */
  getMissing(): MissingEndpoint[] {
    const nowMs = this._nowMs();
    return [...this._missing].flatMap(([id, dropAtMs]) =>
      dropAtMs > nowMs ? [{ id, leftMs: dropAtMs - nowMs }] : [],
    );
  }

  /** Returns the endpoints of a service that may get new work. */
  getUsable(service: string): Endpoint[] {
    return this.getAll().filter(
      (endpoint) =>
        endpoint.listed.service === service && !endpoint.listed.isDraining && !this._missing.has(endpoint.id),
    );
  }

  /** Starts the grace period for missing entries, since the store has recovered. */
  noteStoreReturned(): void {
    this._graceUntilMs = this._nowMs() + recoveryGraceMs;
  }

  /**
   * Replaces all entries by those of a complete list.
   * @param missing - Endpoints that the source of the list keeps for a grace period. Those that are known are kept as long.
   */
  setAll(values: ReadonlyMap<string, ListedEndpoint>, missing: readonly MissingEndpoint[] = []): void {
    this.hasList = true;
    const nowMs = this._nowMs();
    const dropAtMs = new Map(missing.map(({ id, leftMs }) => [id, nowMs + leftMs]));
    for (const endpoint of this.getAll()) {
      if (!values.has(endpoint.id)) this._markMissing(endpoint, dropAtMs.get(endpoint.id));
    }
    for (const listed of values.values()) this._setListed(listed, false);
    this.dropMissing();
  }

  /** Applies a list that may contain endpoints whose entries are missing: updates and drops known endpoints, and adds none. */
  updateKnown(values: ReadonlyMap<string, ListedEndpoint>): void {
    for (const endpoint of this.getAll()) {
      const listed = values.get(endpoint.id);
      if (listed === undefined) this._markMissing(endpoint);
      else if (!this._missing.has(endpoint.id)) this._setListed(listed, false);
    }
    this.dropMissing();
  }

  /** Applies changes of the list. */
  apply(changes: readonly Change<ListedEndpoint>[]): void {
    for (const change of changes) {
      if (change.value !== undefined) this._setListed(change.value, true);
      else this._removeListed(change);
    }
    this.dropMissing();
  }

  /**
   * Records the reported start of an endpoint's process.
   * @param layers - Layers that the process has loaded; those of an earlier life no longer apply.
   * @returns Whether the report concerns the known life, a newer one, or an earlier one; a report on an earlier life changes nothing.
   */
  noteStart(id: string, bornAtMs: number | undefined, layers: readonly LayerSpan[]): LifeOrder {
    const endpoint = this._endpoints.get(id);
    const order = this._compareLives(id, bornAtMs);
    if (order === "newer" && endpoint !== undefined)
      this._restart(endpoint, { ...endpoint.listed, bornAtMs, layers: [...layers], isDraining: false });
    return order;
  }

  /**
   * Records that an endpoint stated that it is draining, even if its entry says otherwise or is not known yet. Only a new life ends the
   * draining.
   * @returns Whether this was not known yet.
   */
  noteDraining(lifeId: string): boolean {
    if (this._drainingLives.has(lifeId)) return false;
    this._drainingLives.add(lifeId);
    const [oldest] = this._drainingLives;
    if (this._drainingLives.size > maxRememberedLives && oldest !== undefined)
      this._drainingLives.delete(oldest);
    const endpoint = this.getLife(lifeId);
    if (endpoint === undefined || endpoint.listed.isDraining) return endpoint === undefined;
    endpoint.listed = { ...endpoint.listed, isDraining: true };
    this._notify(endpoint, "draining");
    return true;
  }

  /** Returns the lives of listed endpoints that have stated that they are draining. */
  getDrainingLives(): string[] {
    return this.getAll().flatMap(({ lifeId }) => (this._drainingLives.has(lifeId) ? [lifeId] : []));
  }

  /** Drops the endpoints whose grace period is over. */
  dropMissing(): void {
    const nowMs = this._nowMs();
    for (const [id, dropAtMs] of this._missing) if (nowMs >= dropAtMs) this._drop(id);
  }

  /**
   * Records evidence that an endpoint does not work: the endpoint gets no new work for a while.
   * @returns Whether the endpoint is known and was not under suspicion by evidence of this strength yet.
   */
  suspect(id: string, evidence: SuspicionEvidence = "unanswered"): boolean {
    const endpoint = this._endpoints.get(id);
    const nowMs = this._nowMs();
    if (endpoint === undefined) return false;
    if (endpoint.isSuspect(nowMs)) return this._confirm(endpoint, evidence);
    endpoint.evidence = evidence;
    // The list does not report heartbeats that change nothing, so a long time without suspicions resets the count as well.
    if (nowMs - endpoint.suspectedAtMs > suspicionMemoryMs) endpoint.suspicions = 0;
    endpoint.suspectedAtMs = nowMs;
    endpoint.suspectUntilMs = nowMs + Math.min(maxSuspicionMs, suspicionMs * 2 ** endpoint.suspicions);
    endpoint.suspicions += 1;
    this._notify(endpoint, "suspected");
    return true;
  }

  /** Records stronger evidence of a suspicion; returns whether the evidence is stronger. */
  private _confirm(endpoint: Endpoint, evidence: SuspicionEvidence): boolean {
    if (!isStronger(evidence, endpoint.evidence)) return false;
    endpoint.evidence = evidence;
    this._notify(endpoint, "confirmed");
    return true;
  }

  /** Begins the trials of those of some endpoints that are in doubt, since a request is sent to them. */
  beginTrials(ids: readonly string[]): EndpointTrial[] {
    const nowMs = this._nowMs();
    return ids.flatMap((id) => {
      const endpoint = this._endpoints.get(id);
      if (endpoint?.isInDoubt(nowMs) !== true) return [];
      const isFirst = endpoint.triedAtMs < endpoint.suspectedAtMs;
      const trial = new EndpointTrial(this, endpoint, this._nowMs);
      if (isFirst) this._notify(endpoint, "tried");
      return [trial];
    });
  }

  /** Withdraws a suspicion that turned out to be wrong. */
  clear(id: string): void {
    const endpoint = this._endpoints.get(id);
    if (endpoint === undefined || !endpoint.isSuspect(this._nowMs())) return;
    endpoint.suspectUntilMs = 0;
    endpoint.suspicions -= 1;
    this._notify(endpoint, "cleared");
  }

  /**
   * Assumes that the peers put the same load on endpoints as this instance, until one of them reports its load. For the first second after
   * a simultaneous start of all instances, none has received the loads of the others, and all choose the same cheapest chains. If callers
   * send requests twice as fast as usual, engines reject 5 % of the requests without this assumption and less than 1 % with it, at 5 % more
   * time per token (see `ChainChoosingFleetTests`).
   */
  assumePeers(count: number): void {
    if (this._mayAssumePeers) this._assumedPeers.count = count;
  }

  /** Ends the assumption: from now on only the loads that peers report count. */
  endAssumption(): void {
    this._mayAssumePeers = false;
    this._assumedPeers.count = 0;
  }

  /** Sets the load of a peer on all endpoints, keyed by the ids of their lives; endpoints without an entry have no load of this peer. */
  setPeerLoads(peer: string, loads: ReadonlyMap<string, EndpointLoad>): void {
    this.endAssumption();
    for (const endpoint of this._endpoints.values()) endpoint.setPeerLoad(peer, loads.get(endpoint.lifeId));
  }

  /** Removes the loads of all peers that are not in `peers`, since they can no longer be reached. */
  retainPeerLoads(peers: ReadonlySet<string>): void {
    for (const endpoint of this._endpoints.values()) endpoint.retainPeerLoads(peers);
  }

  private _setListed(listed: ListedEndpoint, isHeartbeat: boolean): void {
    const order = this._compareLives(listed.id, listed.bornAtMs);
    if (order === "earlier") return;
    this._missing.delete(listed.id);
    const known = this._endpoints.get(listed.id);
    if (known === undefined) return this._add(listed);
    if (order === "newer") return this._restart(known, listed);
    const before = known.listed;
    // Draining is final for a life of the process.
    known.listed = before.isDraining ? { ...listed, isDraining: true } : listed;
    if (isHeartbeat) this._noteHeartbeat(known);
    if (listed.isDraining && !before.isDraining) this._notify(known, "draining");
    if (!areSameLayers(listed.layers, before.layers)) this._notify(known, "layers");
  }

  /**
   * Compares a reported start with the newest known one. An endpoint that reports its start does so in every report, so a report without
   * a start does not concern the current life.
   */
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
    if (this._newestStarts.size > maxRememberedLives && oldest !== undefined)
      this._newestStarts.delete(oldest);
  }

  /**
   * Replaces an endpoint whose process has restarted. Its layers, load, capacity, suspicions and resets belong to a process that no longer
   * exists, and work that passes through that process is lost.
   */
  private _restart(before: Endpoint, listed: ListedEndpoint): void {
    const endpoint = this._create(listed);
    this._endpoints.set(listed.id, endpoint);
    this._notify(before, "restarted");
    this._notify(endpoint, "added");
  }

  /** Marks an endpoint whose entry was removed as missing. An entry that cannot be parsed may be written again within the grace period. */
  private _removeListed({ key, isUnreadable }: Change<ListedEndpoint>): void {
    const endpoint = this._endpoints.get(key);
    if (endpoint === undefined) return;
    if (isUnreadable !== true) return this._markMissing(endpoint);
    if (!this._missing.has(key)) this._missing.set(key, this._nowMs() + unreadableGraceMs);
  }

  private _add(listed: ListedEndpoint): void {
    const endpoint = this._takeFormer(listed) ?? this._create(listed);
    this._endpoints.set(listed.id, endpoint);
    this._notify(endpoint, "added");
  }

  /** Returns the endpoint of an earlier entry if the entry is of the same life, which has the same address throughout. */
  private _takeFormer(listed: ListedEndpoint): Endpoint | undefined {
    const lifeId = getLifeId(listed);
    const endpoint = this._formerLives.get(lifeId);
    if (endpoint === undefined) return undefined;
    this._formerLives.remove(lifeId);
    if (endpoint.listed.address !== listed.address) return undefined;
    endpoint.returnWith(this._applyDraining(listed));
    return endpoint;
  }

  private _create(listed: ListedEndpoint): Endpoint {
    return new Endpoint(this._applyDraining(listed), this._assumedPeers);
  }

  /** Returns the entry as draining if its life has stated that it is. */
  private _applyDraining(listed: ListedEndpoint): ListedEndpoint {
    return this._drainingLives.has(getLifeId(listed)) ? { ...listed, isDraining: true } : listed;
  }

  private _noteHeartbeat(endpoint: Endpoint): void {
    const nowMs = this._nowMs();
    if (nowMs - endpoint.suspectedAtMs < minHeartbeatDelayMs) return;
    endpoint.suspicions = 0;
    if (!endpoint.isSuspect(nowMs)) return;
    endpoint.suspectUntilMs = 0;
    this._notify(endpoint, "cleared");
  }

  private _markMissing({ id }: Endpoint, dropAtMs = this._graceUntilMs): void {
    if (this._nowMs() >= dropAtMs) return this._drop(id);
    this._missing.set(id, Math.min(dropAtMs, this._missing.get(id) ?? dropAtMs));
  }

  private _drop(id: string): void {
    this._missing.delete(id);
    const endpoint = this._endpoints.get(id);
    if (endpoint === undefined) return;
    this._endpoints.delete(id);
    this._formerLives.set(endpoint.lifeId, endpoint);
    this._notify(endpoint, "gone");
  }

  private _notify(endpoint: Endpoint, event: EndpointEvent): void {
    for (const listener of this._listeners) listener(endpoint, event);
  }
}
