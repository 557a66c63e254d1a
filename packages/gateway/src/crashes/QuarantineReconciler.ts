import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { crashRetentionMs, type QuarantineMessage } from "@shedtiller/crashes";
import type { QuarantineStore, StoredQuarantine } from "./QuarantineStore.js";

/** Interval of the ticks: short enough to read the store soon after a start, and long enough not to burden a store that is unavailable. */
const tickMs = 500;
/** A quarantine that is not in the store after this time was removed there; a newer one may not have been written yet. */
const storedWithinMs = 10_000;
/** Maximum number of quarantines that wait to be written; the oldest is dropped first. */
const maxPendingWrites = 256;

/** Dependencies of {@link QuarantineReconciler}. */
export interface QuarantineReconcilerStructure {
  readonly store: QuarantineStore;
  readonly log: DecisionLog;
  /** Whether this instance reads the store for its zone. */
  readonly isReader: () => boolean;
  readonly merge: (quarantines: readonly QuarantineMessage[]) => void;
  /** Returns the requests that have been quarantined for at least this long. */
  readonly getQuarantinedFor: (durationMs: number) => readonly string[];
  /** Releases a request whose quarantine an operator has removed from the store. */
  readonly release: (digest: string) => void;
}

/**
 * Keeps the quarantines of this instance and the store consistent: retries writes until they succeed, and reads the store after a start.
 * One instance of a zone reads for all of them and reports new quarantines to its peers, since after a simultaneous start of all instances
 * none has received them from another. Each instance has one reconciler.
 */
export class QuarantineReconciler {
  /** Pending writes by digest; undefined removes the quarantine from the store. */
  private readonly _pendingWrites = new Map<string, StoredQuarantine | undefined>();
  private _hasRead = false;
  /** Whether the next read releases the requests that the store no longer contains. */
  private _mustReconcile = false;

  constructor(private readonly _structure: QuarantineReconcilerStructure) {}

  /** Writes a quarantine to the store, or removes the quarantine of a request. */
  persist(digest: string, quarantine: QuarantineMessage | undefined): void {
    const entry =
      quarantine === undefined
        ? undefined
        : { digest, untilUnixMs: utils.wallMs() + quarantine.leftMs, times: quarantine.times };
    this._pendingWrites.set(digest, entry);
    const [oldest] = this._pendingWrites.keys();
    if (this._pendingWrites.size > maxPendingWrites && oldest !== undefined)
      this._pendingWrites.delete(oldest);
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

  /** Reads the store again, and releases the requests whose quarantine an operator has removed there. */
  async reconcile(): Promise<void> {
    this._mustReconcile = true;
    await this.tick();
  }

  /** Reads the store if a read is due, and retries pending writes. */
  async tick(): Promise<void> {
    if (this._mustReconcile || (!this._hasRead && this._structure.isReader())) await this._read();
    await this.write();
  }

  /** Writes pending changes; a failed write is retried with the next tick. */
  async write(): Promise<void> {
    const { store, log } = this._structure;
    for (const [digest, quarantine] of [...this._pendingWrites]) {
      this._pendingWrites.delete(digest);
      const done = await (quarantine === undefined ? store.remove(digest) : store.add(quarantine));
      if (done.ok) continue;
      log.warn("hold-not-kept", { digest, cause: done.val.message });
      if (!this._pendingWrites.has(digest)) this._pendingWrites.set(digest, quarantine);
      return;
    }
  }

  private async _read(): Promise<void> {
    const { store, log, merge } = this._structure;
    const read = await store.read();
    if (read.err) return log.warn("holds-unreadable", { cause: read.val.message });
    this._hasRead = true;
    if (this._mustReconcile) this._releaseDropped(new Set(read.val.map(({ digest }) => digest)));
    this._mustReconcile = false;
    const nowMs = utils.wallMs();
    const quarantines = read.val.map(({ digest, untilUnixMs, times }) => ({
      digest,
      ageMs: 0,
      leftMs: untilUnixMs - nowMs,
      times,
    }));
    for (const { digest, leftMs } of quarantines)
      if (leftMs < -crashRetentionMs) this.persist(digest, undefined);
    merge(quarantines.filter(({ leftMs }) => leftMs >= -crashRetentionMs));
  }

  private _releaseDropped(storedDigests: ReadonlySet<string>): void {
    const { getQuarantinedFor, release } = this._structure;
    for (const digest of getQuarantinedFor(storedWithinMs)) {
      if (!storedDigests.has(digest) && !this._pendingWrites.has(digest)) release(digest);
    }
  }
}
