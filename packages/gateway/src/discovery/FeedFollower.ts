/** Follows a change feed: a snapshot first, then changes, with a new snapshot where the history has a gap. */
import { utils } from "@shedtiller/common";
import type { Change, ChangeFeed, StoreError } from "./ChangeFeed.js";

/** What a follower reports to. */
export interface FeedListener<T> {
  /** All values at `provenAtMs` (monotonic); keys that are absent have been dropped. */
  onSnapshot(values: ReadonlyMap<string, T>, provenAtMs: number): void;
  /** Changes, possibly none: the set is complete as of `provenAtMs`. */
  onChanges(changes: readonly Change<T>[], provenAtMs: number): void;
  onLost(error: StoreError): void;
  onRegained(): void;
}

/** How a follower paces its calls. */
export interface FollowOptions {
  /** How long the store may hold a read. 0 where changes are so frequent that reads are spaced instead. */
  readonly waitMs: number;
  /** Pause between two reads. */
  readonly intervalMs: number;
  /** Pause after a failed read. */
  readonly retryMs: number;
}

/** One task that reads until its signal aborts. */
export class FeedFollower<T> {
  private _offset: number | undefined;
  private _isLost = false;

  constructor(
    private readonly _feed: ChangeFeed<T>,
    private readonly _listener: FeedListener<T>,
    private readonly _options: FollowOptions,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const error =
        this._offset === undefined ? await this._readSnapshot() : await this._readChanges(this._offset);
      if (error !== undefined) this._noteFailed(error);
      const pauseMs = error === undefined ? this._options.intervalMs : this._options.retryMs;
      if (pauseMs > 0) await utils.sleep(pauseMs, signal).catch(() => undefined);
    }
  }

  private async _readSnapshot(): Promise<StoreError | undefined> {
    const askedAtMs = utils.monotonicMs();
    const snapshot = await this._feed.getSnapshot();
    if (snapshot.err) return snapshot.val;
    this._noteAnswered();
    this._offset = snapshot.val.nextOffset;
    this._listener.onSnapshot(snapshot.val.values, askedAtMs);
    return undefined;
  }

  private async _readChanges(offset: number): Promise<StoreError | undefined> {
    const askedAtMs = utils.monotonicMs();
    const page = await this._feed.getChanges(offset, this._options.waitMs);
    if (page.err) return page.val;
    this._noteAnswered();
    if (page.val.isCompacted) return this._readSnapshot();
    this._offset = page.val.nextOffset;
    this._listener.onChanges(page.val.changes, askedAtMs);
    return undefined;
  }

  /** The listener learns that the store is back before it gets what the store says. */
  private _noteAnswered(): void {
    if (this._isLost) this._listener.onRegained();
    this._isLost = false;
  }

  private _noteFailed(error: StoreError): void {
    if (!this._isLost) this._listener.onLost(error);
    this._isLost = true;
  }
}
