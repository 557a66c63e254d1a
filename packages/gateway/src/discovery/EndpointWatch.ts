/** Follows the list of endpoints in the store. */
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Change, ChangeFeed, StoreError } from "./ChangeFeed.js";
import type { EndpointTable } from "./EndpointTable.js";
import { FeedFollower, type FollowOptions } from "./FeedFollower.js";
import type { ListedEndpoint } from "./ListedEndpoint.js";

/**
 * A held read proves only that the list was complete when it was sent, so a proof is up to twice this old. An endpoint that leaves
 * has to be known within 2 s, also after the reader of a zone has lost the store.
 */
const heldReadMs = 400;
const retryMs = 250;
/**
 * While entries change, this pause sets how many reads a zone makes and how often its instances are told. As long as a held read, so
 * that proofs get no older by it.
 */
const gatherMs = 400;

/** One watch an instance. */
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
    this.follower = new FeedFollower(feed, listener, { waitMs: heldReadMs, retryMs, gatherMs, ...clock });
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
   * Takes a list that a peer knew to be complete at `provenAtMs`, if that is newer than what we have.
   * @param list - Undefined where it was the one that we had when we asked.
   */
  applyPeerList(list: readonly ListedEndpoint[] | undefined, nextOffset: number, provenAtMs: number): void {
    if (list === undefined) {
      this.follower.applyPeerPage({ fromOffset: nextOffset, nextOffset, changes: [] }, provenAtMs);
      return;
    }
    const values = new Map(list.map((listed) => [listed.id, listed]));
    this.follower.takeSnapshot(values, nextOffset, provenAtMs);
  }
}
