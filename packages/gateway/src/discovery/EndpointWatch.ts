import type { DecisionLog } from "../logs/DecisionLog.js";
import { isCutOff, type Change, type ChangeFeed, type StoreError } from "./ChangeFeed.js";
import type { EndpointTable } from "./EndpointTable.js";
import { FeedFollower, type FollowOptions } from "./FeedFollower.js";
import type { ListedEndpoint } from "./ListedEndpoint.js";

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

/** Follows the list of endpoints in the store and applies its changes to the endpoint table. Each instance has one such watch. */
export class EndpointWatch {
  readonly follower: FeedFollower<ListedEndpoint>;

  /** @param clock - Monotonic clock and waits, replaced in tests. */
  constructor(
    private readonly _endpoints: EndpointTable,
    feed: ChangeFeed<ListedEndpoint>,
    log: DecisionLog,
    clock: Pick<FollowOptions, "nowMs" | "pause"> = {},
  ) {
    const listener = {
      onSnapshot: (values: ReadonlyMap<string, ListedEndpoint>) => _endpoints.setAll(values),
      onChanges: (changes: readonly Change<ListedEndpoint>[]) => _endpoints.apply(changes),
      onLost: (error: StoreError) => log.warn("endpoint-store-lost", { cause: error.message }),
      onRegained: () => {
        _endpoints.noteStoreReturned();
        log.info("endpoint-store-regained", { endpoints: _endpoints.getAll().length });
      },
    };
    this.follower = new FeedFollower(feed, listener, { waitMs: longPollMs, retryMs, gatherMs, ...clock });
    this.follower.onRead((page) => {
      if (!isCutOff(page)) return;
      const { nextOffset, endOffset } = page;
      const freshnessAgeMs = Math.round(this.follower.getFreshnessAgeMs());
      log.info("endpoints-read-cut-off", { nextOffset, endOffset, freshnessAgeMs });
    });
    _endpoints.onChanged((endpoint, event) => {
      const { id, listed } = endpoint;
      const layers = listed.layers.map((span) => `${span.start}-${span.end}`);
      log.info(`endpoint-${event}`, {
        endpointId: id,
        address: listed.address,
        zone: listed.availabilityZone,
        layers,
      });
    });
  }

  run(signal: AbortSignal): Promise<void> {
    return this.follower.run(signal);
  }

  /**
   * Applies a list that was complete at `freshAtMs` according to a peer, if that is newer than the known list.
   * @param list - Undefined if the peer's list is the one that this instance already had when it sent its request.
   */
  applyPeerList(list: readonly ListedEndpoint[] | undefined, nextOffset: number, freshAtMs: number): void {
    if (list === undefined) {
      this.follower.applyPeerPage({ fromOffset: nextOffset, nextOffset, changes: [] }, freshAtMs);
      return;
    }
    const values = new Map(list.map((listed) => [listed.id, listed]));
    this.follower.applyPeerSnapshot(values, nextOffset, freshAtMs);
  }
}
