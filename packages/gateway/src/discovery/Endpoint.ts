import { EndpointBackoff } from "@shedtiller/routing";
import { LocalPermits } from "./LocalPermits.js";
import { SendPermit } from "./SendPermit.js";
import type { KnownLimit } from "./EndpointLimits.js";
import type { ListedEndpoint } from "./ListedEndpoint.js";
import type { SuspicionEvidence } from "./SuspicionEvidence.js";
import type { StatedLoad } from "../http/EndpointStatement.js";
import { CircuitBreaker } from "./CircuitBreaker.js";

/** The load that requests put on an endpoint. */
export interface EndpointLoad {
  /** Requests in flight. */
  readonly requests: number;
  /** Tokens reserved in the KV cache, each counted once for each layer that the endpoint runs for that token. */
  readonly tokenLayers: number;
  /** Prompt tokens of requests without a first event, which the endpoint has yet to read. */
  readonly promptTokens: number;
}

/**
 * How long an observed capacity limit applies. The free capacity of an engine changes with its layers, which takes seconds; after this time
 * the full capacity is assumed again.
 */
const observedCapacityMs = 2_000;

/** Stated requests count for this time, in which a plain endpoint answers several requests; afterwards those known from peers are newer. */
const statedRequestsMs = 200;

/** A sign within this time after the evidence of a suspicion may have been sent before the endpoint stopped. */
const signMarginMs = 50;

/** Number of running requests with which an instance tests an endpoint that has given no sign. */
const maxTrials = 1;

/** Separates the endpoint id from the start time of the process. Ids of the platform consist of letters, digits and dashes. */
export const lifeSeparator = "@";

/** Returns the id of the life that an entry describes. */
export function getLifeId({ id, bornAtMs }: Pick<ListedEndpoint, "id" | "bornAtMs">): string {
  return bornAtMs === undefined ? id : `${id}${lifeSeparator}${bornAtMs}`;
}

/** The number of other instances that are assumed to put the same load on endpoints as this instance. */
export interface AssumedPeers {
  count: number;
}

const noLoad: EndpointLoad = { requests: 0, tokenLayers: 0, promptTokens: 0 };

/**
 * One endpoint from the perspective of this instance: its listed state, the load that this instance puts on the endpoint, the last loads
 * that peers reported, and the permits, back-off and failures that restrict sending to the endpoint.
 */
export class Endpoint {
  /** Monotonic time until which the endpoint gets no new work unless no other endpoint is available. */
  suspectUntilMs = 0;
  /** Monotonic time of the evidence that led to the suspicion. */
  suspectedAtMs = 0;
  /** The strongest evidence of the current suspicion. */
  evidence: SuspicionEvidence = "reported";
  /**
   * Monotonic time until which this instance sends no new requests to the endpoint. Set after the endpoint rejected a moved stream, or was
   * reported as faulty or without the listed layers.
   */
  avoidedUntilMs = 0;
  /** Stops requests to the endpoint after requests of this instance failed. */
  readonly circuitBreaker = new CircuitBreaker();
  /** Monotonic time at which this instance last received an answer or an event of the endpoint. */
  heardAtMs = Number.NEGATIVE_INFINITY;
  /** Number of consecutive suspicions without a heartbeat between them. */
  suspicions = 0;
  /** Running requests of this instance that test the endpoint while it is in doubt. */
  trials = 0;
  /** Monotonic time of the last trial. */
  triedAtMs = Number.NEGATIVE_INFINITY;
  /** Monotonic time of the next trial after one without a result. */
  nextTrialAtMs = 0;
  /** The load at which the endpoint last rejected a request for lack of capacity. */
  private _observedCapacity: { readonly tokenLayers: number; readonly untilMs: number } | undefined;
  /** Factor by which the endpoint is slower than its accelerator kind, as it reports itself; 1 is nominal. */
  slowness = 1;
  /** The limit that the endpoint stated last; undefined as long as it has stated none. */
  limit: KnownLimit | undefined;
  readonly permits = new LocalPermits();
  /** The back-off that the endpoint requested from this instance. */
  readonly backoff = new EndpointBackoff();
  private _ownLoad: EndpointLoad = noLoad;
  private _statedLoad: (StatedLoad & { readonly atMs: number }) | undefined;
  private readonly _peerLoads = new Map<string, EndpointLoad>();

  constructor(
    public listed: ListedEndpoint,
    private readonly _assumedPeers: Readonly<AssumedPeers> = { count: 0 },
  ) {}

  get id(): string {
    return this.listed.id;
  }

  /** Identifies one life of the endpoint's process. Reports of peers on an earlier life must not be applied to the current one. */
  get lifeId(): string {
    return getLifeId(this.listed);
  }

  /** The recipient of orders and report requests for the current life of the endpoint. */
  get orderTarget(): { readonly id: string; readonly address: string; readonly lifeId: string } {
    return { id: this.id, address: this.listed.address, lifeId: this.lifeId };
  }

  /**
   * Takes up an entry that is listed again after it was removed. What the endpoint asked for and what failed there still apply, a suspicion
   * does not, and the loads that peers reported meanwhile are not known.
   */
  returnWith(listed: ListedEndpoint): void {
    this.listed = listed;
    this.suspectUntilMs = 0;
    this.retainPeerLoads(new Set());
  }

  get ownLoad(): EndpointLoad {
    return this._ownLoad;
  }

  /** The load that the endpoint stated last; undefined as long as it has stated none. */
  get statedLoad(): StatedLoad | undefined {
    return this._statedLoad;
  }

  /** Records the load that the endpoint states in an answer at `atMs`. */
  noteStatedLoad(load: StatedLoad, atMs: number): void {
    this._statedLoad = { ...load, atMs };
  }

  /** Returns the requests that the endpoint stated to have a moment ago, whoever sent them; 0 if it has not. */
  getStatedRequests(nowMs: number): number {
    const stated = this._statedLoad;
    if (stated === undefined || nowMs - stated.atMs > statedRequestsMs) return 0;
    return stated.running + stated.waiting;
  }

  /** Returns the load that this instance and all peers put on the endpoint, as reported or assumed. */
  getLoad(): EndpointLoad {
    const loadFactor = 1 + this._assumedPeers.count;
    let requests = this._ownLoad.requests * loadFactor;
    let tokenLayers = this._ownLoad.tokenLayers * loadFactor;
    let promptTokens = this._ownLoad.promptTokens * loadFactor;
    for (const load of this._peerLoads.values()) {
      requests += load.requests;
      tokenLayers += load.tokenLayers;
      promptTokens += load.promptTokens;
    }
    return { requests, tokenLayers, promptTokens };
  }

  addOwnLoad(requests: number, tokenLayers: number, promptTokens = 0): void {
    this._ownLoad = {
      requests: this._ownLoad.requests + requests,
      tokenLayers: this._ownLoad.tokenLayers + tokenLayers,
      promptTokens: this._ownLoad.promptTokens + promptTokens,
    };
  }

  /** Sets the load of a peer; undefined removes the load. */
  setPeerLoad(peer: string, load: EndpointLoad | undefined): void {
    if (load === undefined) this._peerLoads.delete(peer);
    else this._peerLoads.set(peer, load);
  }

  /** Removes the loads of all peers that are not in `peers`. */
  retainPeerLoads(peers: ReadonlySet<string>): void {
    for (const peer of this._peerLoads.keys()) if (!peers.has(peer)) this._peerLoads.delete(peer);
  }

  /**
   * Records that the endpoint rejected a request for lack of capacity at its current load: its free capacity is smaller than its layers
   * suggest, for example while it changes them. For a short time the endpoint gets no more than that load.
   * @returns Whether this lowers the known capacity.
   */
  noteFull(nowMs: number): boolean {
    const { tokenLayers } = this.getLoad();
    const isLower = tokenLayers < this.getObservedCapacityTokenLayers(nowMs);
    this._observedCapacity = { tokenLayers, untilMs: nowMs + observedCapacityMs };
    return isLower;
  }

  /** Returns the load at which the endpoint recently rejected a request for lack of capacity; infinite if there was no rejection. */
  getObservedCapacityTokenLayers(nowMs: number): number {
    const observed = this._observedCapacity;
    return observed === undefined || nowMs >= observed.untilMs
      ? Number.POSITIVE_INFINITY
      : observed.tokenLayers;
  }

  /** Returns whether a request may be sent to the endpoint, within its stated limit and outside its requested back-off. */
  hasPermit(nowMs: number): boolean {
    if (!this.backoff.maySend(nowMs)) return false;
    return this.limit?.perSecond === undefined || this.permits.getCount(nowMs) > 0;
  }

  /** Acquires the permit to send one request; undefined if none is available now. */
  tryAcquirePermit(nowMs: number): SendPermit | undefined {
    if (!this.hasPermit(nowMs)) return undefined;
    const isLimited = this.limit?.perSecond !== undefined;
    const expiresAtMs = isLimited ? this.permits.tryAcquire(nowMs) : undefined;
    if (!isLimited) this.permits.noteUnlimitedSend(nowMs);
    this.backoff.noteSent(nowMs);
    this.circuitBreaker.noteSent(nowMs);
    return new SendPermit(this, expiresAtMs);
  }

  /** Puts back a permit with which no request was sent. */
  releasePermit(expiresAtMs: number | undefined): void {
    if (expiresAtMs !== undefined) this.permits.release(expiresAtMs);
    this.backoff.noteNotSent();
    this.circuitBreaker.noteNotSent();
  }

  /** Records that the endpoint answered a request that it had accepted. */
  noteAnswered(sentAtMs: number): void {
    this.circuitBreaker.noteAnswered(sentAtMs);
    this.backoff.noteAnswered(sentAtMs);
  }

  /**
   * Returns whether the last request to the endpoint failed or its back-off has just ended. A request that cannot be retried should then go
   * to another endpoint.
   */
  isRecovering(nowMs: number): boolean {
    return this.circuitBreaker.isRecovering(nowMs) || this.backoff.isRecovering(nowMs);
  }

  isSuspect(nowMs: number): boolean {
    return nowMs < this.suspectUntilMs;
  }

  /**
   * Returns whether a request should rather go to another endpoint: this one is suspect, blocked by its circuit breaker, or recovers and the
   * request must not probe it.
   */
  isDoubtful(nowMs: number, mayProbe: boolean): boolean {
    const isBlocked = this.isSuspect(nowMs) || this.circuitBreaker.isBlocked(nowMs);
    return isBlocked || (!mayProbe && this.isRecovering(nowMs));
  }

  /**
   * Returns whether this instance sends no new work to the endpoint unless too few others are left, since it is suspect, was avoided or has
   * failed requests.
   */
  isAvoided(nowMs: number): boolean {
    return (this.isSuspect(nowMs) && !this._hasGivenSign()) || this._isExcluded(nowMs);
  }

  /** Returns whether nothing speaks against the endpoint but its silence, so that it may still work. */
  isInDoubt(nowMs: number): boolean {
    const isSilent = this.isSuspect(nowMs) && this.evidence !== "lost" && !this._hasGivenSign();
    return isSilent && !this._isExcluded(nowMs);
  }

  /** Returns whether a request may test the endpoint while it is in doubt. */
  mayBeTried(nowMs: number): boolean {
    return this.trials < maxTrials && nowMs >= this.nextTrialAtMs;
  }

  /** Returns whether the endpoint answered or sent an event after its suspicion for silence. */
  private _hasGivenSign(): boolean {
    return this.evidence === "unanswered" && this.heardAtMs > this.suspectedAtMs + signMarginMs;
  }

  private _isExcluded(nowMs: number): boolean {
    return nowMs < this.avoidedUntilMs || this.circuitBreaker.isOpen(nowMs);
  }
}
