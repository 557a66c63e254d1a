/**
 * Follows a change feed: a snapshot first, then changes, with a new snapshot where the history has a gap. It reads the store by
 * itself, or takes what another instance has read.
 */
import { utils } from "@shedtiller/common";
import type { Change, ChangeFeed, FeedPage, StoreError } from "./ChangeFeed.js";

/** Without a proof for this long the store counts as away; a follower that takes pages from a peer notices by this. */
const awayAfterMs = 4_000;
/** After a page with changes the next read waits, so that changes that come in a row are read together. */
const gatherIntervalMs = 200;
/**
 * Failed reads of a follower that does not read for others double their pause up to this. While a store that turns calls away for eight
 * seconds was asked by all of 195 instances every 250 ms, they made 12,000 calls.
 */
const longestRetryMs = 2_000;
/** The pause doubles this often at most, so that the power stays a small number. */
const mostRetryDoublings = 8;

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
  /** How long the store may hold a read. */
  readonly waitMs: number;
  /** Pause after a failed read. */
  readonly retryMs: number;
  /** Pause after a page with changes. */
  readonly gatherMs?: number;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Waits between reads, replaced in tests. Rejects once `signal` aborts. */
  readonly pause?: (durationMs: number, signal: AbortSignal) => Promise<void>;
}

/** A read of the store, or what a peer tells of one. */
export interface ToldPage<T> {
  /** Where the read began. */
  readonly fromOffset: number;
  readonly nextOffset: number;
  /** Undefined where the peer tells only that something has changed. */
  readonly changes: readonly Change<T>[] | undefined;
}

/** One task that follows until its signal aborts. */
export class FeedFollower<T> {
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number, signal: AbortSignal) => Promise<void>;
  private readonly _readListeners: ((page: FeedPage<T>, fromOffset: number) => void)[] = [];
  private _offset: number | undefined;
  private _provenAtMs = Number.NEGATIVE_INFINITY;
  private _isLost = false;
  private _isReader = true;
  private _isStandIn = false;
  /** The next read is answered at once: nothing has been proven for a while, or there is something to catch up with. */
  private _isHurried = true;
  /** Since when something newer is known to exist that was not read yet. */
  private _behindSinceMs: number | undefined;
  /** Up to where changes are known to exist. */
  private _knownEnd = 0;
  private _failures = 0;
  private _woken = new utils.Deferred<void>();

  constructor(
    private readonly _feed: ChangeFeed<T>,
    private readonly _listener: FeedListener<T>,
    private readonly _options: FollowOptions,
  ) {
    this._nowMs = _options.nowMs ?? utils.monotonicMs;
    this._pause = _options.pause ?? utils.sleep;
  }

  /** Where reading goes on; undefined before the first snapshot. */
  get nextOffset(): number | undefined {
    return this._offset;
  }

  /** How old the proof is that the set is complete. */
  getFreshnessAgeMs(): number {
    return this._nowMs() - this._provenAtMs;
  }

  /** For how long something newer has been known to exist that was not read yet. */
  getBehindMs(): number {
    return this._behindSinceMs === undefined ? 0 : this._nowMs() - this._behindSinceMs;
  }

  /** Calls `listener` with each page of changes that this follower has read by itself. */
  onRead(listener: (page: FeedPage<T>, fromOffset: number) => void): void {
    this._readListeners.push(listener);
  }

  /** Whether it reads only since nobody told it anything for too long. */
  get isFallbackReader(): boolean {
    return this._isReader && this._isStandIn;
  }

  /**
   * Sets whether this follower reads the store all the time.
   * @param isStandIn - Whether it does so only until it is told again: its failed reads double their pause.
   */
  setReader(isReader: boolean, isStandIn = false): void {
    this._isStandIn = isStandIn;
    if (isReader === this._isReader) return;
    this._isReader = isReader;
    this._isHurried = true;
    if (isReader) this._woken.resolve();
  }

  /** Takes what a peer has read. What does not join on is read from the store. */
  applyPeerPage(page: ToldPage<T>, provenAtMs: number): void {
    if (this._offset === undefined || page.nextOffset < this._offset) return;
    const isKnown = page.nextOffset === this._offset;
    this._knownEnd = Math.max(this._knownEnd, page.nextOffset);
    if (!isKnown && (page.changes === undefined || page.fromOffset !== this._offset)) return this._catchUp();
    this._noteProofGap(provenAtMs);
    this._moveTo(page.nextOffset);
    this._accept(isKnown ? [] : (page.changes ?? []), provenAtMs);
  }

  /** Takes a whole set that a peer knew to be complete at `provenAtMs`, unless ours is newer. */
  takeSnapshot(values: ReadonlyMap<string, T>, nextOffset: number, provenAtMs: number): void {
    if (provenAtMs <= this._provenAtMs || nextOffset < (this._offset ?? 0)) return;
    this._moveTo(nextOffset);
    this._provenAtMs = provenAtMs;
    this._listener.onSnapshot(values, provenAtMs);
  }

  /** Takes note that what the store has before an offset came from elsewhere. It proves nothing: something newer may exist. */
  advanceTo(nextOffset: number): void {
    if (this._offset !== undefined && nextOffset > this._offset) this._moveTo(nextOffset);
  }

  /** Follows until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this._woken.resolve(), { once: true });
    while (!signal.aborted) {
      if (this._isIdle()) await this._waitUntilWoken();
      else await this._readAndPause(signal);
    }
  }

  /** Whether peers tell all that there is to know: it does not read for others, and has nothing to catch up with. */
  private _isIdle(): boolean {
    return this._offset !== undefined && !this._isReader && this._behindSinceMs === undefined;
  }

  private async _waitUntilWoken(): Promise<void> {
    await this._woken.promise;
    this._woken = new utils.Deferred();
  }

  private async _readAndPause(signal: AbortSignal): Promise<void> {
    const before = this._offset;
    const error = await this._read();
    if (error !== undefined) this._noteFailed(error);
    else this._failures = 0;
    await this._pause(this._getPauseMs(error, before), signal).catch(() => undefined);
  }

  private _getPauseMs(error: StoreError | undefined, offsetBefore: number | undefined): number {
    if (error !== undefined) return this._getRetryMs();
    // A store that has not got yet what a peer was given is asked again, but not all the time.
    const isWaiting = this._offset === offsetBefore && this._behindSinceMs === undefined;
    return isWaiting ? 0 : (this._options.gatherMs ?? gatherIntervalMs);
  }

  private async _read(): Promise<StoreError | undefined> {
    const error =
      this._offset === undefined ? await this._readSnapshot() : await this._readChanges(this._offset);
    if (error !== undefined) this._behindSinceMs ??= this._isReader ? undefined : this._nowMs();
    else if (this._offset !== undefined) this._moveTo(this._offset);
    return error;
  }

  /** Goes on from an offset; nothing is left to catch up with once all that is known to exist lies before it. */
  private _moveTo(nextOffset: number): void {
    this._offset = nextOffset;
    this._knownEnd = Math.max(this._knownEnd, nextOffset);
    if (nextOffset === this._knownEnd) this._behindSinceMs = undefined;
  }

  private async _readSnapshot(): Promise<StoreError | undefined> {
    const askedAtMs = this._nowMs();
    const snapshot = await this._feed.getSnapshot();
    if (snapshot.err) return snapshot.val;
    this._noteAnswered();
    this._moveTo(snapshot.val.nextOffset);
    this._provenAtMs = askedAtMs;
    this._listener.onSnapshot(snapshot.val.values, askedAtMs);
    return undefined;
  }

  private async _readChanges(offset: number): Promise<StoreError | undefined> {
    const askedAtMs = this._nowMs();
    const waitMs = this._isHurried || !this._isReader ? 0 : this._options.waitMs;
    this._isHurried = false;
    const page = await this._feed.getChanges(offset, waitMs);
    if (page.err) return page.val;
    this._noteAnswered();
    if (page.val.isCompacted) return this._readSnapshot();
    // A peer told the same changes while this read was under way.
    if (this._offset !== undefined && this._offset > offset && page.val.nextOffset <= this._offset)
      return undefined;
    this._moveTo(page.val.nextOffset);
    this._accept(page.val.changes, askedAtMs);
    for (const listener of this._readListeners) listener(page.val, offset);
    return undefined;
  }

  private _accept(changes: readonly Change<T>[], provenAtMs: number): void {
    this._provenAtMs = Math.max(this._provenAtMs, provenAtMs);
    this._listener.onChanges(changes, this._provenAtMs);
  }

  /** Something newer exists than what was told; it is read from the store at once. */
  private _catchUp(): void {
    this._behindSinceMs ??= this._nowMs();
    this._isHurried = true;
    this._woken.resolve();
  }

  /** A peer that proves something after a long pause has just got the store back. */
  private _noteProofGap(provenAtMs: number): void {
    if (provenAtMs - this._provenAtMs > awayAfterMs || this._isLost) this._listener.onRegained();
    this._isLost = false;
  }

  /** The listener learns that the store is back before it gets what the store says. */
  private _noteAnswered(): void {
    if (this._isLost) this._listener.onRegained();
    this._isLost = false;
  }

  private _noteFailed(error: StoreError): void {
    this._isHurried = true;
    this._failures += 1;
    if (!this._isLost) this._listener.onLost(error);
    this._isLost = true;
  }

  private _getRetryMs(): number {
    const { retryMs } = this._options;
    if (this._isReader && !this._isStandIn) return retryMs;
    return Math.min(longestRetryMs, retryMs * 2 ** Math.min(this._failures - 1, mostRetryDoublings));
  }
}
