import {
  isCutOff,
  type Change,
  type ChangeFeed,
  type FeedPage,
  type StoreError,
} from "../discovery/ChangeFeed.js";
import { FeedFollower, type FollowOptions } from "../discovery/FeedFollower.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { ActiveConfiguration, ConfigurationSource } from "./ActiveConfiguration.js";
import { getLongPollMs } from "./DenialFreshness.js";
import type { GatewayConfiguration } from "./gatewayConfiguration.js";
import type { RouteTable } from "./RouteTable.js";

const retryMs = 250;

/** Watches the operators' configuration in the store, and puts new versions into force. */
export class ConfigurationWatch {
  readonly follower: FeedFollower<GatewayConfiguration>;

  /**
   * @param deadlineMs - Time after its acknowledgement by which a configuration has to be in force.
   * @param clock - Monotonic clock and pauses, replaced in tests.
   */
  constructor(
    private readonly _activeConfiguration: ActiveConfiguration,
    feed: ChangeFeed<GatewayConfiguration>,
    private readonly _log: DecisionLog,
    deadlineMs: number,
    clock: Pick<FollowOptions, "nowMs" | "pause"> = {},
  ) {
    const listener = {
      onSnapshot: (values: ReadonlyMap<string, GatewayConfiguration>, freshAtMs: number) =>
        this._accept([...values.values()], freshAtMs),
      onChanges: (changes: readonly Change<GatewayConfiguration>[], freshAtMs: number) =>
        this._accept(
          changes.flatMap((change) => change.value ?? []),
          freshAtMs,
        ),
      onLost: (error: StoreError) => _log.warn("configuration-store-lost", { cause: error.message }),
      onRegained: () => _log.info("configuration-store-regained", { version: _activeConfiguration.version }),
    };
    this.follower = new FeedFollower(feed, listener, {
      waitMs: getLongPollMs(deadlineMs),
      retryMs,
      ...clock,
    });
    this.follower.onRead((page) => this._logRead(page));
    _activeConfiguration.onChanged((table, source) => this._logInForce(table, source));
  }

  /** Follows the feed until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.follower.run(signal);
  }

  private _accept(configurations: readonly GatewayConfiguration[], freshAtMs: number): void {
    for (const configuration of configurations) this._activeConfiguration.accept(configuration);
    this._activeConfiguration.confirmFreshness(this._activeConfiguration.version, freshAtMs);
  }

  /** Logs a read that returned changes. Long polls without changes are not logged: their duration is only the wait. */
  private _logRead(page: FeedPage<GatewayConfiguration>): void {
    const { changes, nextOffset, endOffset } = page;
    const { version } = this._activeConfiguration;
    const freshnessAgeMs = Math.round(this.follower.getFreshnessAgeMs());
    if (isCutOff(page)) {
      this._log.info("configuration-read-cut-off", { nextOffset, endOffset, version, freshnessAgeMs });
    } else if (changes.length > 0) {
      this._log.info("configuration-read", { tookMs: freshnessAgeMs, nextOffset, version });
    }
  }

  private _logInForce({ configuration }: RouteTable, source: ConfigurationSource): void {
    this._log.info("configuration-in-force", {
      version: configuration.version,
      source,
      behindMs: Math.round(this.follower.getBehindMs()),
      routes: configuration.routes.length,
      accounts: configuration.accounts?.length,
    });
  }
}
