/** What this instance knows of one endpoint. */
import { EndpointBackoff } from "@shedtiller/routing";
import { PermitHand } from "./PermitHand.js";
import { SendPermit } from "./SendPermit.js";
import type { KnownLimit } from "./EndpointLimits.js";
import type { ListedEndpoint } from "./ListedEndpoint.js";
import { FailureGuard } from "./FailureGuard.js";

/** Load that requests put on an endpoint. */
export interface EndpointLoad {
  /** Requests under way. */
  readonly requests: number;
  /** Tokens reserved in the KV cache, each counted once for each layer that the endpoint runs for it. */
  readonly tokenLayers: number;
}

/** An engine's room changes with its layers, which takes seconds; after this it is tried with its full room again. */
const seenFullMs = 2_000;

/** Stands between the id and the start of a process; ids of the platform are letters, digits and dashes. */
export const lifeSeparator = "@";

/** How many other instances are taken to put the same load on endpoints as this one. */
export interface AssumedPeers {
  count: number;
}

const noLoad: EndpointLoad = { requests: 0, tokenLayers: 0 };

/** An endpoint with its listed state, our own load on it, and that of the peers as they last told. */
export class Endpoint {
  /** Monotonic time until which it gets no new work unless nothing else is left. */
  suspectUntilMs = 0;
  /** Monotonic time of the evidence that led to the suspicion. */
  suspectedAtMs = 0;
  /** Monotonic time until which it gets nothing new from this instance, since it just refused for want of room. */
  refusedUntilMs = 0;
  /** Requests of this instance that it failed at once. */
  readonly circuitBreaker = new FailureGuard();
  /** Suspicions in a row without a heartbeat between them. */
  suspicions = 0;
  private _seenFull: { readonly tokenLayers: number; readonly untilMs: number } | undefined;
  /** Factor by which it is slower than its kind, by its own report; 1 is nominal. */
  slowness = 1;
  /** The limit that it named last; undefined while it never did. */
  limit: KnownLimit | undefined;
  readonly permits = new PermitHand();
  /** The rest that it asked this instance for. */
  readonly backoff = new EndpointBackoff();
  private _own: EndpointLoad = noLoad;
  private readonly _peerLoads = new Map<string, EndpointLoad>();

  constructor(
    public listed: ListedEndpoint,
    private readonly _assumedPeers: Readonly<AssumedPeers> = { count: 0 },
  ) {}

  get id(): string {
    return this.listed.id;
  }

  /** Names one life of the endpoint's process: what peers tell of an earlier one must not count for this one. */
  get lifeId(): string {
    const { id, bornAtMs } = this.listed;
    return bornAtMs === undefined ? id : `${id}${lifeSeparator}${bornAtMs}`;
  }

  /** Where orders and questions to this life of it go. */
  get orderTarget(): { readonly id: string; readonly address: string; readonly lifeId: string } {
    return { id: this.id, address: this.listed.address, lifeId: this.lifeId };
  }

  get ownLoad(): EndpointLoad {
    return this._own;
  }

  /** Our own load and that of all peers, told or assumed. */
  getLoad(): EndpointLoad {
    const alike = 1 + this._assumedPeers.count;
    let requests = this._own.requests * alike;
    let tokenLayers = this._own.tokenLayers * alike;
    for (const load of this._peerLoads.values()) {
      requests += load.requests;
      tokenLayers += load.tokenLayers;
    }
    return { requests, tokenLayers };
  }

  addOwn(requests: number, tokenLayers: number): void {
    this._own = { requests: this._own.requests + requests, tokenLayers: this._own.tokenLayers + tokenLayers };
  }

  /** Takes a peer's load; undefined where it has none. */
  setPeerLoad(peer: string, load: EndpointLoad | undefined): void {
    if (load === undefined) this._peerLoads.delete(peer);
    else this._peerLoads.set(peer, load);
  }

  /** Forgets the load of peers that are not named. */
  keepPeerLoads(peers: ReadonlySet<string>): void {
    for (const peer of this._peerLoads.keys()) if (!peers.has(peer)) this._peerLoads.delete(peer);
  }

  /**
   * Notes that it refused for want of room at the load that it has now: its room is smaller than its layers tell, as while it
   * changes them. It gets no more than that load for a while.
   * @returns Whether that was not known yet.
   */
  noteFull(nowMs: number): boolean {
    const { tokenLayers } = this.getLoad();
    const isNews = tokenLayers < this.getSeenFullTokenLayers(nowMs);
    this._seenFull = { tokenLayers, untilMs: nowMs + seenFullMs };
    return isNews;
  }

  /** The load at which it refused of late; infinite where it did not. */
  getSeenFullTokenLayers(nowMs: number): number {
    const seen = this._seenFull;
    return seen === undefined || nowMs >= seen.untilMs ? Number.POSITIVE_INFINITY : seen.tokenLayers;
  }

  /** Whether a request may be sent to it: within the limit that it names, and not in a rest that it asked for. */
  hasPermit(nowMs: number): boolean {
    if (!this.backoff.maySend(nowMs)) return false;
    return this.limit?.perSecond === undefined || this.permits.getCount(nowMs) > 0;
  }

  /** Takes the right to send one request; undefined where there is none now. */
  tryTakePermit(nowMs: number): SendPermit | undefined {
    if (!this.hasPermit(nowMs)) return undefined;
    const isLimited = this.limit?.perSecond !== undefined;
    const expiresAtMs = isLimited ? this.permits.tryTake(nowMs) : undefined;
    if (!isLimited) this.permits.noteFree(nowMs);
    this.backoff.noteSent(nowMs);
    this.circuitBreaker.noteSent(nowMs);
    return new SendPermit(this, expiresAtMs);
  }

  /** Takes back a permit with which nothing was sent. */
  takeBack(expiresAtMs: number | undefined): void {
    if (expiresAtMs !== undefined) this.permits.giveBack(expiresAtMs);
    this.backoff.noteNotSent();
    this.circuitBreaker.noteNotSent();
  }

  /** Notes an answer to a request that it took. */
  noteAnswered(sentAtMs: number): void {
    this.circuitBreaker.noteAnswered(sentAtMs);
    this.backoff.noteAnswered(sentAtMs);
  }

  /** Whether it failed last or has just come back from a rest, so that a request which can't be sent again is better off elsewhere. */
  isUnproven(nowMs: number): boolean {
    return this.circuitBreaker.isUnproven(nowMs) || this.backoff.isUnproven(nowMs);
  }

  isSuspect(nowMs: number): boolean {
    return nowMs < this.suspectUntilMs;
  }
}
