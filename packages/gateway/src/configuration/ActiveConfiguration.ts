import { utils } from "@shedtiller/common";
import type { GatewayConfiguration } from "./gatewayConfiguration.js";
import { RouteTable } from "./RouteTable.js";

/** Source of a configuration: a read of the store, by this instance or relayed by the reader of its zone, or a response of a peer. */
export type ConfigurationSource = "store" | "peer";

/**
 * Stores the configuration in force at this instance, and its freshness: the time at which the version was last known to be the newest in
 * the store. Within the life of a process, versions never decrease.
 */
export class ActiveConfiguration {
  private _table: RouteTable | undefined;
  private _freshAtMs = Number.NEGATIVE_INFINITY;
  private readonly _listeners: ((table: RouteTable, source: ConfigurationSource) => void)[] = [];
  private readonly _loaded = new utils.Deferred<void>();
  private _update = new utils.Deferred<void>();

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Look-ups in the configuration in force; undefined until the first one is loaded. */
  get table(): RouteTable | undefined {
    return this._table;
  }

  /** Version in force, or -1 until the first one is loaded. */
  get version(): number {
    return this._table?.version ?? -1;
  }

  /** Returns the age of the freshness, which is infinite until it is confirmed for the first time. */
  getFreshnessAgeMs(): number {
    return this._nowMs() - this._freshAtMs;
  }

  /** Resolves once a configuration is loaded, or after `timeoutMs`. */
  async waitUntilLoaded(timeoutMs: number): Promise<void> {
    if (this._table !== undefined) return;
    await waitFor(this._loaded.promise, timeoutMs);
  }

  /** Resolves with the next configuration or the next confirmation of freshness, or after `timeoutMs`. */
  waitForUpdate(timeoutMs: number): Promise<void> {
    return waitFor(this._update.promise, timeoutMs);
  }

  /** Calls `listener` for each version that comes into force. */
  onChanged(listener: (table: RouteTable, source: ConfigurationSource) => void): void {
    this._listeners.push(listener);
  }

  /** Puts a configuration into force if it is newer than the present one, and returns whether it is. */
  accept(configuration: GatewayConfiguration, source: ConfigurationSource = "store"): boolean {
    if (configuration.version <= this.version) return false;
    this._table = new RouteTable(configuration);
    this._loaded.resolve();
    for (const listener of this._listeners) listener(this._table, source);
    this._notifyUpdate();
    return true;
  }

  /**
   * Records that `version` was the newest in the store at `atMs`. This is ignored for versions other than the one in force.
   * @param atMs - Monotonic time at which the read or request was sent.
   */
  confirmFreshness(version: number, atMs: number): void {
    if (version !== this.version || atMs <= this._freshAtMs) return;
    this._freshAtMs = atMs;
    this._notifyUpdate();
  }

  private _notifyUpdate(): void {
    this._update.resolve();
    this._update = new utils.Deferred();
  }
}

async function waitFor(event: Promise<void>, timeoutMs: number): Promise<void> {
  const timeout = new AbortController();
  await Promise.race([event, utils.sleep(timeoutMs, timeout.signal).catch(() => undefined)]);
  timeout.abort();
}
