/** Follows the operators' configuration in the store. */
import type { Change, ChangeFeed, StoreError } from "../discovery/ChangeFeed.js";
import { FeedFollower } from "../discovery/FeedFollower.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { ConfigurationKeeper } from "./ConfigurationKeeper.js";
import type { GatewayConfiguration } from "./gatewayConfiguration.js";

/**
 * A held read proves freshness only as of its sending, so a proof may be twice this old. It has to stay well below the
 * bound on revoked keys, 5 s on the deployments at hand.
 */
const heldReadMs = 1_500;
const retryMs = 250;

/** One watch an instance. */
export class ConfigurationWatch {
  readonly follower: FeedFollower<GatewayConfiguration>;

  constructor(
    private readonly _keeper: ConfigurationKeeper,
    feed: ChangeFeed<GatewayConfiguration>,
    private readonly _log: DecisionLog,
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
    this.follower = new FeedFollower(feed, listener, { waitMs: heldReadMs, retryMs });
  }

  run(signal: AbortSignal): Promise<void> {
    return this.follower.run(signal);
  }

  private _take(configurations: readonly GatewayConfiguration[], provenAtMs: number): void {
    for (const configuration of configurations) {
      if (!this._keeper.accept(configuration)) continue;
      this._log.info("configuration-in-force", {
        version: configuration.version,
        routes: configuration.routes.length,
        accounts: configuration.accounts?.length,
      });
    }
    this._keeper.confirm(this._keeper.version, provenAtMs);
  }
}
