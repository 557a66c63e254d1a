/** Follows the operators' configuration in the store. */
import type { Change, ChangeFeed, StoreError } from "../discovery/ChangeFeed.js";
import { FeedFollower, type FollowOptions } from "../discovery/FeedFollower.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { ActiveConfiguration, ConfigurationSource } from "./ActiveConfiguration.js";
import { getLongPollMs } from "./DenialFreshness.js";
import type { GatewayConfiguration } from "./gatewayConfiguration.js";
import type { RouteTable } from "./RouteTable.js";

const retryMs = 250;

/** One watch an instance. */
export class ConfigurationWatch {
  readonly follower: FeedFollower<GatewayConfiguration>;

  /**
   * @param deadlineMs - Within this of its acknowledgement a configuration has to be in force.
   * @param clock - Monotonic clock and waits, replaced in tests.
   */
  constructor(
    private readonly _keeper: ActiveConfiguration,
    feed: ChangeFeed<GatewayConfiguration>,
    private readonly _log: DecisionLog,
    deadlineMs: number,
    clock: Pick<FollowOptions, "nowMs" | "pause"> = {},
  ) {
    const listener = {
      onSnapshot: (values: ReadonlyMap<string, GatewayConfiguration>, provenAtMs: number) =>
        this._take([...values.values()], provenAtMs),
      onChanges: (changes: readonly Change<GatewayConfiguration>[], provenAtMs: number) =>
        this._take(
          changes.flatMap((change) => change.value ?? []),
          provenAtMs,
        ),
      onLost: (error: StoreError) => _log.warn("configuration-store-lost", { cause: error.message }),
      onRegained: () => _log.info("configuration-store-regained", { version: _keeper.version }),
    };
    this.follower = new FeedFollower(feed, listener, {
      waitMs: getLongPollMs(deadlineMs),
      retryMs,
      ...clock,
    });
    this.follower.onRead((page) => this._logRead(page.changes.length, page.nextOffset));
    _keeper.onChanged((table, source) => this._logInForce(table, source));
  }

  run(signal: AbortSignal): Promise<void> {
    return this.follower.run(signal);
  }

  private _take(configurations: readonly GatewayConfiguration[], provenAtMs: number): void {
    for (const configuration of configurations) this._keeper.accept(configuration);
    this._keeper.confirmFreshness(this._keeper.version, provenAtMs);
  }

  /** A held read without changes is no decision, and takes as long as it is held. */
  private _logRead(changes: number, nextOffset: number): void {
    if (changes === 0) return;
    const tookMs = Math.round(this.follower.getFreshnessAgeMs());
    this._log.info("configuration-read", { tookMs, nextOffset, version: this._keeper.version });
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
