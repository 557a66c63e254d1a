/**
 * Writes holds to the store until they are there, and reads them back after a start. One instance of a zone reads for all, and tells its
 * peers what was news: after a start of all nobody else knows.
 */
import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { memoryMs, type ToldHold } from "@shedtiller/crashes";
import type { QuarantineStore, StoredQuarantine } from "./QuarantineStore.js";

/** Soon after a start, and rare enough for a store that is away. */
const tickMs = 500;
/** A hold that is not in the store after this was dropped there; a younger one may still be on its way. */
const keptWithinMs = 10_000;
/** Holds that wait for the store, at most; the oldest goes first. */
const mostWaiting = 256;

/** What a keeper works with. */
export interface HoldKeeperStructure {
  readonly store: QuarantineStore;
  readonly log: DecisionLog;
  /** Whether this instance reads the store for its zone. */
  readonly isReader: () => boolean;
  readonly take: (holds: readonly ToldHold[]) => void;
  /** Requests that have been held back for this long at least. */
  readonly getHeldFor: (durationMs: number) => readonly string[];
  /** Lets a request go that an operator has dropped from the store. */
  readonly release: (digest: string) => void;
}

/** One keeper an instance. */
export class HoldKeeper {
  /** By digest; undefined is to be dropped. */
  private readonly _waiting = new Map<string, StoredQuarantine | undefined>();
  private _hasRead = false;
  /** Whether what the store does not have is to be let go. */
  private _mustCompare = false;

  constructor(private readonly _structure: HoldKeeperStructure) {}

  /** Keeps a hold, or drops what is kept of a request. */
  keep(digest: string, hold: ToldHold | undefined): void {
    const stored =
      hold === undefined
        ? undefined
        : { digest, untilUnixMs: utils.wallMs() + hold.leftMs, times: hold.times };
    this._waiting.set(digest, stored);
    const [oldest] = this._waiting.keys();
    if (this._waiting.size > mostWaiting && oldest !== undefined) this._waiting.delete(oldest);
    void this.write();
  }

  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      tickMs,
      signal,
      () => this.tick(),
      (error) => {
        this._structure.log.error("hold-keeper-failed", { cause: String(error) });
      },
    );
  }

  /** Reads the store again, and lets go what an operator has dropped there. */
  async compare(): Promise<void> {
    this._mustCompare = true;
    await this.tick();
  }

  /** Does what is due. */
  async tick(): Promise<void> {
    if (this._mustCompare || (!this._hasRead && this._structure.isReader())) await this._read();
    await this.write();
  }

  /** Writes what waits; what fails waits for the next tick. */
  async write(): Promise<void> {
    const { store, log } = this._structure;
    for (const [digest, hold] of [...this._waiting]) {
      this._waiting.delete(digest);
      const done = await (hold === undefined ? store.remove(digest) : store.add(hold));
      if (done.ok) continue;
      log.warn("hold-not-kept", { digest, cause: done.val.message });
      if (!this._waiting.has(digest)) this._waiting.set(digest, hold);
      return;
    }
  }

  private async _read(): Promise<void> {
    const { store, log, take } = this._structure;
    const read = await store.read();
    if (read.err) return log.warn("holds-unreadable", { cause: read.val.message });
    this._hasRead = true;
    if (this._mustCompare) this._releaseDropped(new Set(read.val.map(({ digest }) => digest)));
    this._mustCompare = false;
    const nowMs = utils.wallMs();
    const holds = read.val.map(({ digest, untilUnixMs, times }) => ({
      digest,
      ageMs: 0,
      leftMs: untilUnixMs - nowMs,
      times,
    }));
    for (const { digest, leftMs } of holds) if (leftMs < -memoryMs) this.keep(digest, undefined);
    take(holds.filter(({ leftMs }) => leftMs >= -memoryMs));
  }

  private _releaseDropped(kept: ReadonlySet<string>): void {
    const { getHeldFor, release } = this._structure;
    for (const digest of getHeldFor(keptWithinMs)) {
      if (!kept.has(digest) && !this._waiting.has(digest)) release(digest);
    }
  }
}
