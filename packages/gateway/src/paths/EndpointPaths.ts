import { utils } from "@shedtiller/common";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { ConnectFailure, PathListener } from "../http/Connector.js";
import type { DecisionLog } from "../logs/DecisionLog.js";

/** Lost paths from which this instance counts as cut off, if it has not reached any endpoint directly since the first of them. */
const minLostPaths = 2;
/** Endpoints that neither this instance nor a peer reaches, from which this instance may be isolated. */
const minUnreachable = 2;

/** Dependencies of {@link EndpointPaths}. */
export interface EndpointPathsStructure {
  readonly endpoints: Pick<EndpointTable, "getAll" | "getByAddress" | "onChanged">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

interface LostPath {
  readonly failure: ConnectFailure;
  readonly sinceMs: number;
}

/**
 * What this instance knows about its network paths to the endpoints. A path is lost if direct connections fail while a peer reaches the
 * endpoint: that distinguishes a cut of this instance from the failure of an endpoint.
 */
export class EndpointPaths {
  /** Lost paths by the address of the endpoint. */
  private readonly _lost = new Map<string, LostPath>();
  /** Addresses that neither this instance nor a peer has reached since this instance last reached an endpoint. */
  private readonly _unreachable = new Set<string>();
  private readonly _listeners: PathListener[] = [];
  private readonly _isolationListeners: ((isIsolated: boolean) => void)[] = [];
  private readonly _nowMs: () => number;
  private _directAtMs = Number.NEGATIVE_INFINITY;
  /** Monotonic time at which an endpoint was last reached, directly or through a peer. */
  private _reachedAtMs = Number.NEGATIVE_INFINITY;
  private _cutOffSinceMs: number | undefined;
  private _isIsolated = false;

  constructor(private readonly _structure: EndpointPathsStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    _structure.endpoints.onChanged((endpoint, event) => {
      if (event === "gone") this._remove(endpoint.listed.address);
    });
  }

  onChanged(listener: PathListener): void {
    this._listeners.push(listener);
  }

  /** Calls `listener` when this instance loses its last path to an endpoint, and when it reaches one again. */
  onIsolationChanged(listener: (isIsolated: boolean) => void): void {
    this._isolationListeners.push(listener);
  }

  /** Addresses of the endpoints to which the direct path is lost. */
  get lostAddresses(): string[] {
    return [...this._lost.keys()];
  }

  /** Whether this instance reaches no endpoint directly, as far as it has tried. */
  get isCutOff(): boolean {
    return this._cutOffSinceMs !== undefined;
  }

  /** Whether this instance reaches no endpoint at all, neither directly nor through a peer. */
  get isIsolated(): boolean {
    return this._isIsolated;
  }

  /** Addresses of all listed endpoints. */
  get listedAddresses(): string[] {
    return this._structure.endpoints.getAll().map(({ listed }) => listed.address);
  }

  isLost(address: string): boolean {
    return this._lost.has(address);
  }

  /** Returns why direct connections fail; undefined if the path is not lost. */
  getFailure(address: string): ConnectFailure | undefined {
    return this._lost.get(address)?.failure;
  }

  /** Returns whether a connection should begin with a peer, since the direct path is known or likely to be lost. */
  shouldUsePeer(address: string): boolean {
    return this.isLost(address) || this.isCutOff;
  }

  /** Records that a direct connection was established. */
  noteDirect(address: string): void {
    this._directAtMs = this._nowMs();
    this.noteReached();
    if (this._lost.delete(address)) {
      this._structure.log.info("endpoint-path-regained", this._describe(address));
      this._notify(address, undefined);
    }
    this._updateCutOff();
  }

  /** Records that a peer reached an endpoint, to which direct connections fail. */
  noteLost(address: string, failure: ConnectFailure, peer: string): void {
    this.noteReached();
    if (this._lost.has(address) || this._structure.endpoints.getByAddress(address) === undefined) return;
    this._lost.set(address, { failure, sinceMs: this._nowMs() });
    this._structure.log.warn("endpoint-path-lost", { ...this._describe(address), failure, peer });
    this._notify(address, failure);
    this._updateCutOff();
  }

  /** Records that neither this instance nor a peer reached an endpoint. */
  noteUnreachable(address: string): void {
    if (this._structure.endpoints.getByAddress(address) !== undefined) this._unreachable.add(address);
  }

  /** Whether several endpoints in a row were not reached by any path, which may be their fault or that of this instance. */
  get mayBeIsolated(): boolean {
    const needed = Math.min(minUnreachable, this._structure.endpoints.getAll().length);
    return this._unreachable.size > 0 && this._unreachable.size >= needed;
  }

  /**
   * Records that a sample of all endpoints was tried and none was reached.
   * @param triedSinceMs - Monotonic time at which the tries began; an endpoint that was reached since by another call counts as well.
   */
  confirmIsolation(triedSinceMs: number): void {
    if (!this._isIsolated && this._reachedAtMs < triedSinceMs) this._setIsolated(true);
  }

  /** Records that a connection to an endpoint was established, directly or through a peer. */
  noteReached(): void {
    this._reachedAtMs = this._nowMs();
    this._unreachable.clear();
    if (this._isIsolated) this._setIsolated(false);
  }

  private _setIsolated(isIsolated: boolean): void {
    this._isIsolated = isIsolated;
    const unreachable = this._unreachable.size;
    const listed = this._structure.endpoints.getAll().length;
    this._structure.log.warn(isIsolated ? "instance-isolated" : "instance-reachable", {
      unreachable,
      listed,
    });
    for (const listener of this._isolationListeners) listener(isIsolated);
  }

  private _updateCutOff(): void {
    const sinceMs = Math.min(...[...this._lost.values()].map((path) => path.sinceMs));
    const isCutOff = this._lost.size >= minLostPaths && this._directAtMs < sinceMs;
    if (isCutOff === this.isCutOff) return;
    const nowMs = this._nowMs();
    const listed = this._structure.endpoints.getAll().length;
    const tookMs = this._cutOffSinceMs === undefined ? undefined : Math.round(nowMs - this._cutOffSinceMs);
    this._cutOffSinceMs = isCutOff ? nowMs : undefined;
    const fields = { lostPaths: this._lost.size, listed, directMsAgo: this._getDirectMsAgo(nowMs), tookMs };
    this._structure.log.warn(isCutOff ? "instance-cut-off" : "instance-reconnected", fields);
  }

  private _getDirectMsAgo(nowMs: number): number | undefined {
    return Number.isFinite(this._directAtMs) ? Math.round(nowMs - this._directAtMs) : undefined;
  }

  private _remove(address: string): void {
    this._unreachable.delete(address);
    if (this._lost.delete(address)) this._updateCutOff();
  }

  private _describe(address: string): { endpointId: string | undefined; address: string } {
    return { endpointId: this._structure.endpoints.getByAddress(address)?.id, address };
  }

  private _notify(address: string, failure: ConnectFailure | undefined): void {
    for (const listener of this._listeners) listener(address, failure);
  }
}
