/** Follows the list of endpoints in the store. */
import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Change, ChangeFeed, StoreError } from "./ChangeFeed.js";
import type { EndpointTable } from "./EndpointTable.js";
import { FeedFollower } from "./FeedFollower.js";
import type { ListedEndpoint } from "./ListedEndpoint.js";

/** Heartbeats change the list all the time, so reads are spaced; an endpoint that leaves must be known within 2 s. */
const readIntervalMs = 700;
const retryMs = 250;

/** One watch an instance. */
export class EndpointWatch {
  private readonly _follower: FeedFollower<ListedEndpoint>;
  private _provenAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _endpoints: EndpointTable,
    feed: ChangeFeed<ListedEndpoint>,
    log: DecisionLog,
  ) {
    const listener = {
      onSnapshot: (values: ReadonlyMap<string, ListedEndpoint>, provenAtMs: number) => {
        _endpoints.setAll(values);
        this._provenAtMs = provenAtMs;
      },
      onChanges: (changes: readonly Change<ListedEndpoint>[], provenAtMs: number) => {
        _endpoints.apply(changes);
        this._provenAtMs = provenAtMs;
      },
      onLost: (error: StoreError) => log.warn("endpoint-store-lost", { cause: error.message }),
      onRegained: () => {
        _endpoints.noteStoreReturned();
        log.info("endpoint-store-regained", { endpoints: _endpoints.getAll().length });
      },
    };
    this._follower = new FeedFollower(feed, listener, { waitMs: 0, intervalMs: readIntervalMs, retryMs });
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

  /** How old the proof is that the list is complete. */
  getAgeMs(): number {
    return utils.monotonicMs() - this._provenAtMs;
  }

  run(signal: AbortSignal): Promise<void> {
    return this._follower.run(signal);
  }

  /** Takes a list that a peer knew to be complete at `provenAtMs`, if that is newer than what we have. */
  takeList(list: readonly ListedEndpoint[], provenAtMs: number): void {
    if (provenAtMs <= this._provenAtMs) return;
    this._provenAtMs = provenAtMs;
    this._endpoints.setAll(new Map(list.map((listed) => [listed.id, listed])));
  }
}
