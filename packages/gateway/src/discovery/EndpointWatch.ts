import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { isCutOff, type Change, type ChangeFeed, type StoreError } from "./ChangeFeed.js";
import type { Endpoint } from "./Endpoint.js";
import type { EndpointTable } from "./EndpointTable.js";
import { FeedFollower, type FollowOptions } from "./FeedFollower.js";
import { describeLayers } from "./layerSpans.js";
import type { ListedEndpoint, MissingEndpoint } from "./ListedEndpoint.js";

/**
 * Long-poll timeout. A long poll proves only that the list was complete when the request was sent, so the list may be up to twice this
 * old. All instances have to be notified of a draining endpoint within 2 s, even if the reader of a zone loses its connection to the store.
 */
const longPollMs = 400;
const retryMs = 250;
/**
 * While entries change, this pause determines how often a zone reads the list and how often its instances are notified. The pause is as
 * long as a long poll, so that it does not increase the age of the list.
 */
const gatherMs = 400;

/** The list of endpoints of a peer. */
export interface PeerEndpointList {
  /** Undefined if the peer's list is the one that this instance already had when it sent its request. */
  readonly endpoints: readonly ListedEndpoint[] | undefined;
  /** Undefined if the list may contain endpoints whose entries are missing, as lists of earlier versions do. */
  readonly missing: readonly MissingEndpoint[] | undefined;
  /** The store's offset that follows what the peer has read. */
  readonly nextOffset: number;
  /** Monotonic time at which the list was complete according to the peer. */
  readonly freshAtMs: number;
}

/** Follows the list of endpoints in the store and applies its changes to the endpoint table. Each instance has one such watch. */
export class EndpointWatch {
  readonly follower: FeedFollower<ListedEndpoint>;
  /** The list that is being taken from a peer. */
  private _peerList: PeerEndpointList | undefined;
  /** Offset of the newest list that was applied although it does not tell missing endpoints from others. */
  private _unmarkedOffset = 0;

  /** @param clock - Monotonic clock and waits, replaced in tests. */
  constructor(
    private readonly _endpoints: EndpointTable,
    feed: ChangeFeed<ListedEndpoint>,
    private readonly _log: DecisionLog,
    clock: Pick<FollowOptions, "nowMs" | "pause"> = {},
  ) {
    const listener = {
      onSnapshot: (values: ReadonlyMap<string, ListedEndpoint>) =>
        _endpoints.setAll(values, this._peerList?.missing),
      onChanges: (changes: readonly Change<ListedEndpoint>[]) => _endpoints.apply(changes),
      onLost: (error: StoreError) => _log.warn("endpoint-store-lost", { cause: error.message }),
      onRegained: () => {
        _endpoints.noteStoreReturned();
        _log.info("endpoint-store-regained", { endpoints: _endpoints.getAll().length });
      },
    };
    this.follower = new FeedFollower(feed, listener, { waitMs: longPollMs, retryMs, gatherMs, ...clock });
    this.follower.onRead((page) => {
      if (!isCutOff(page)) return;
      const { nextOffset, endOffset } = page;
      const freshnessAgeMs = Math.round(this.follower.getFreshnessAgeMs());
      _log.info("endpoints-read-cut-off", { nextOffset, endOffset, freshnessAgeMs });
    });
    _endpoints.onChanged((endpoint, event) => {
      const { id, listed } = endpoint;
      _log.info(`endpoint-${event}`, {
        endpointId: id,
        address: listed.address,
        zone: listed.availabilityZone,
        layers: describeLayers(listed.layers),
        ...(event === "tried" ? describeDoubt(endpoint, utils.monotonicMs()) : undefined),
      });
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this.follower.run(signal);
  }

  /** Applies the list of a peer, if it is newer than the known list. */
  applyPeerList(list: PeerEndpointList): void {
    const { endpoints, missing, nextOffset, freshAtMs } = list;
    if (endpoints === undefined) {
      this.follower.applyPeerPage({ fromOffset: nextOffset, nextOffset, changes: [] }, freshAtMs);
      return;
    }
    if (nextOffset < this._unmarkedOffset) return;
    const values = new Map(endpoints.map((listed) => [listed.id, listed]));
    if (missing === undefined) return this._applyUnmarkedList(values, nextOffset);
    const ageBeforeMs = this.follower.getFreshnessAgeMs();
    this._peerList = list;
    this.follower.applyPeerSnapshot(values, nextOffset, freshAtMs);
    this._peerList = undefined;
    const ageMs = this.follower.getFreshnessAgeMs();
    if (ageMs >= ageBeforeMs) return;
    this._log.info("endpoint-list-taken", {
      nextOffset,
      endpoints: values.size,
      missing: missing.length,
      ageMs: Math.round(ageMs),
      ageBeforeMs: Number.isFinite(ageBeforeMs) ? Math.round(ageBeforeMs) : undefined,
    });
  }

  /**
   * Applies a list that does not tell missing endpoints from others. Their removal may precede the offset of the list, so that neither the
   * offset nor the freshness advances, and only an instance that has read nothing yet adds endpoints: its first snapshot corrects them.
   */
  private _applyUnmarkedList(values: ReadonlyMap<string, ListedEndpoint>, nextOffset: number): void {
    const knownOffset = this.follower.nextOffset;
    if (knownOffset !== undefined && nextOffset <= knownOffset) return;
    if (nextOffset > this._unmarkedOffset)
      this._log.info("endpoint-list-unmarked", { nextOffset, knownOffset, endpoints: values.size });
    this._unmarkedOffset = nextOffset;
    if (knownOffset === undefined) this._endpoints.setAll(values);
    else this._endpoints.updateKnown(values);
  }
}

/** Describes why an endpoint is in doubt, with the age of the evidence. */
function describeDoubt({ evidence, suspectedAtMs, heardAtMs }: Endpoint, nowMs: number): object {
  return {
    evidence,
    evidenceAgeMs: Math.round(nowMs - suspectedAtMs),
    heardMsAgo: Number.isFinite(heardAtMs) ? Math.round(nowMs - heardAtMs) : undefined,
  };
}
