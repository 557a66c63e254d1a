/** The configuration in force at this instance, and how fresh the proof is that nothing newer exists. */
import { utils } from "@shedtiller/common";
import type { GatewayConfiguration } from "./gatewayConfiguration.js";
import { RouteTable } from "./RouteTable.js";

/** Where a configuration came from: a read of the store, by this instance or told by the one that reads for its zone, or a peer's answer. */
export type ConfigurationSource = "store" | "peer";

/** Holds the newest configuration seen. Versions never go back within the life of a process. */
export class ActiveConfiguration {
  private _table: RouteTable | undefined;
  private _provenAtMs = Number.NEGATIVE_INFINITY;
  private readonly _listeners: ((table: RouteTable, source: ConfigurationSource) => void)[] = [];
  private readonly _known = new utils.Deferred<void>();
  private _news = new utils.Deferred<void>();

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Look-ups in the configuration in force; undefined until one is known. */
  get table(): RouteTable | undefined {
    return this._table;
  }

  get version(): number {
    return this._table?.version ?? -1;
  }

  /** How long ago the store is known to have held nothing newer; infinite before the first proof. */
  getFreshnessAgeMs(): number {
    return this._nowMs() - this._provenAtMs;
  }

  /** Resolves once a configuration is known, or after `patienceMs`. */
  async waitUntilKnown(patienceMs: number): Promise<void> {
    if (this._table !== undefined) return;
    await waitFor(this._known.promise, patienceMs);
  }

  /** Resolves with the next configuration or younger proof, or after `patienceMs`. */
  waitForUpdate(patienceMs: number): Promise<void> {
    return waitFor(this._news.promise, patienceMs);
  }

  /** Calls `listener` for each version that comes into force. */
  onChanged(listener: (table: RouteTable, source: ConfigurationSource) => void): void {
    this._listeners.push(listener);
  }

  /** Takes a configuration; tells whether it is newer than the one in force. */
  accept(configuration: GatewayConfiguration, source: ConfigurationSource = "store"): boolean {
    if (configuration.version <= this.version) return false;
    this._table = new RouteTable(configuration);
    this._known.resolve();
    for (const listener of this._listeners) listener(this._table, source);
    this._tellNews();
    return true;
  }

  /**
   * Notes a proof that `version` was the newest at `atMs`. A proof for another version than ours proves nothing.
   * @param atMs - Monotonic time before which the question was asked.
   */
  confirmFreshness(version: number, atMs: number): void {
    if (version !== this.version || atMs <= this._provenAtMs) return;
    this._provenAtMs = atMs;
    this._tellNews();
  }

  private _tellNews(): void {
    this._news.resolve();
    this._news = new utils.Deferred();
  }
}

async function waitFor(event: Promise<void>, patienceMs: number): Promise<void> {
  const patience = new AbortController();
  await Promise.race([event, utils.sleep(patienceMs, patience.signal).catch(() => undefined)]);
  patience.abort();
}
