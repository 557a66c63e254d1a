import { utils } from "@shedtiller/common";
import { isCutOff, type Change, type ChangeFeed, type FeedPage, type StoreError } from "./ChangeFeed.js";

/**
 * The store counts as unavailable if the set has not been confirmed as current for this long; a follower that gets its pages from a peer
 * detects an outage this way.
 */
const unavailableAfterMs = 4_000;
/** Pause after a page with changes, so that changes in quick succession are read together. */
const gatherIntervalMs = 200;
/**
 * Maximum pause after failed reads of a follower that reads for itself only; the pause doubles up to this. With a fixed pause of 250 ms,
 * 195 instances made 12,000 calls to a store that rejected calls for 8 s.
 */
const maxRetryMs = 2_000;
/** Maximum number of doublings of the pause, which bounds the exponent. */
const maxRetryDoublings = 8;

/** Receives the values and changes that a follower reads. */
export interface FeedListener<T> {
  /** Called with all values as of `freshAtMs` (monotonic); keys that are absent have been removed. */
  onSnapshot(values: ReadonlyMap<string, T>, freshAtMs: number): void;
  /** Called with changes, possibly none: the set is complete as of `freshAtMs`, which a page that was cut off does not advance. */
  onChanges(changes: readonly Change<T>[], freshAtMs: number): void;
  onLost(error: StoreError): void;
  onRegained(): void;
}

/** Timing of a follower's calls. */
export interface FollowOptions {
  /** How long the store may keep a read open (long polling). */
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

/** A page of the feed that a peer has read from the store. */
export interface PeerPage<T> {
  /** Offset at which the read began. */
  readonly fromOffset: number;
  readonly nextOffset: number;
  /** The offset after the newest change in the store at the time of the read; undefined if the peer does not state it. */
  readonly endOffset?: number | undefined;
  /** Undefined if the peer reports only that changes exist. */
  readonly changes: readonly Change<T>[] | undefined;
}

/**
 * Follows a change feed from a snapshot on, and from a new snapshot after a gap in the history. Reads the store itself, or applies pages
 * that another instance has read.
 */
export class FeedFollower<T> {
  private readonly _nowMs: () => number;
  private readonly _pause: (durationMs: number, signal: AbortSignal) => Promise<void>;
  private readonly _readListeners: ((page: FeedPage<T>, fromOffset: number) => void)[] = [];
  private _offset: number | undefined;
  private _freshAtMs = Number.NEGATIVE_INFINITY;
  /** The latest time at which the store is known to have answered, here or to a peer that relays its reads. */
  private _answeredAtMs = Number.NEGATIVE_INFINITY;
  private _isLost = false;
  /** Time at which the first read was sent that the store has not answered since it was lost. */
  private _lostSinceMs = Number.NEGATIVE_INFINITY;
  private _isReader = true;
  private _isFallbackReader = false;
  /** Whether the next read returns without long polling, because the freshness of the set is unknown or changes are known to be missing. */
  private _isNextReadImmediate = true;
  /** Whether the last page that was read was cut off after some changes, so that the next one is read without a pause. */
  private _isReadingOn = false;
  /** Monotonic time since which changes have been known to exist that have not been read. */
  private _behindSinceMs: number | undefined;
  /** Offset up to which changes are known to exist. */
  private _knownEndOffset = 0;
  private _failures = 0;
  private _wakeUp = new utils.Deferred<void>();

  constructor(
    private readonly _feed: ChangeFeed<T>,
    private readonly _listener: FeedListener<T>,
    private readonly _options: FollowOptions,
  ) {
    this._nowMs = _options.nowMs ?? utils.monotonicMs;
    this._pause = _options.pause ?? utils.sleep;
  }

  /** The offset of the next read; undefined before the first snapshot. */
  get nextOffset(): number | undefined {
    return this._offset;
  }

  /** Returns the time since the set was last known to be current. */
  getFreshnessAgeMs(): number {
    return this._nowMs() - this._freshAtMs;
  }

  /**
   * Returns the time since the store was last known to answer. This is less than the age of the freshness while pages are cut off, since
   * the store is then available, but the set is not known to be complete.
   */
  getAnswerAgeMs(): number {
    return this._nowMs() - this._answeredAtMs;
  }

  /** Returns how long changes have been known to exist that have not been read. */
  getBehindMs(): number {
    return this._behindSinceMs === undefined ? 0 : this._nowMs() - this._behindSinceMs;
  }

  /** Calls `listener` with each page of changes that this follower has read from the store itself. */
  onRead(listener: (page: FeedPage<T>, fromOffset: number) => void): void {
    this._readListeners.push(listener);
  }

  /** Whether this follower reads the store only because it has received no page from a peer for too long. */
  get isFallbackReader(): boolean {
    return this._isReader && this._isFallbackReader;
  }

  /**
   * Sets whether this follower reads the store continuously.
   * @param isFallbackReader - Whether the follower reads only until a peer sends pages again; the pause after failed reads then doubles.
   */
  setReader(isReader: boolean, isFallbackReader = false): void {
    this._isFallbackReader = isFallbackReader;
    if (isReader === this._isReader) return;
    this._isReader = isReader;
    this._isNextReadImmediate = true;
    if (isReader) this._wakeUp.resolve();
  }

  /**
   * Applies a page that a peer has read. A page that does not continue at the known offset causes a read of the store. So does a page without a
   * known time while the store is unavailable: whether removed entries are to be kept for a while depends on when the store has returned.
   * @param freshAtMs - Time as of which the peer's set was complete after this page.
   * @param answeredAtMs - Time at which the store answered the peer, at least; negative infinity if it is not known.
   */
  applyPeerPage(page: PeerPage<T>, freshAtMs: number, answeredAtMs = freshAtMs): void {
    if (this._offset === undefined || page.nextOffset < this._offset) return;
    const isKnown = page.nextOffset === this._offset;
    const { nextOffset, endOffset = nextOffset } = page;
    this._knownEndOffset = Math.max(this._knownEndOffset, nextOffset, endOffset);
    const isDated = Number.isFinite(answeredAtMs) || !this._isUnavailable();
    if (!isKnown && (page.changes === undefined || page.fromOffset !== this._offset || !isDated))
      return this._catchUp();
    this._noteRelayed(answeredAtMs);
    this._advanceTo(nextOffset);
    this._applyChanges(isKnown ? [] : (page.changes ?? []), freshAtMs);
  }

  /** Applies a complete set that was current at `freshAtMs` according to a peer, unless the known one is newer. */
  applyPeerSnapshot(values: ReadonlyMap<string, T>, nextOffset: number, freshAtMs: number): void {
    if (freshAtMs <= this._freshAtMs || nextOffset < (this._offset ?? 0)) return;
    this._advanceTo(nextOffset);
    this._freshAtMs = freshAtMs;
    this._answeredAtMs = Math.max(this._answeredAtMs, freshAtMs);
    this._listener.onSnapshot(values, freshAtMs);
  }

  /**
   * Advances to an offset whose preceding changes were obtained from another source. The freshness of the set is unchanged, since newer
   * changes may exist.
   */
  advanceTo(nextOffset: number): void {
    if (this._offset !== undefined && nextOffset > this._offset) this._advanceTo(nextOffset);
  }

  /** Follows the feed until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this._wakeUp.resolve(), { once: true });
    while (!signal.aborted) {
      if (this._isIdle()) await this._waitUntilWoken();
      else await this._readAndPause(signal);
    }
  }

  /** Returns whether peers provide all changes, so that this follower neither reads for others nor has changes to catch up on. */
  private _isIdle(): boolean {
    return this._offset !== undefined && !this._isReader && this._behindSinceMs === undefined;
  }

  private async _waitUntilWoken(): Promise<void> {
    await this._wakeUp.promise;
    this._wakeUp = new utils.Deferred();
  }

  private async _readAndPause(signal: AbortSignal): Promise<void> {
    const before = this._offset;
    const requestedAtMs = this._nowMs();
    const error = await this._read();
    if (error !== undefined) this._noteFailed(error, requestedAtMs);
    else this._failures = 0;
    await this._pause(this._getPauseMs(error, before), signal).catch(() => undefined);
  }

  private _getPauseMs(error: StoreError | undefined, offsetBefore: number | undefined): number {
    if (error !== undefined) return this._getRetryMs();
    if (this._isReadingOn) return 0;
    // The store may not return changes yet that a peer has already received; it is then read again after a pause.
    const isWaiting = this._offset === offsetBefore && this._behindSinceMs === undefined;
    return isWaiting ? 0 : (this._options.gatherMs ?? gatherIntervalMs);
  }

  private async _read(): Promise<StoreError | undefined> {
    this._isReadingOn = false;
    const error =
      this._offset === undefined ? await this._readSnapshot() : await this._readChanges(this._offset);
    if (error !== undefined) this._behindSinceMs ??= this._isReader ? undefined : this._nowMs();
    else if (this._offset !== undefined) this._advanceTo(this._offset);
    return error;
  }

  /** Moves to an offset. The follower is behind until the offset reaches the end of the known changes. */
  private _advanceTo(nextOffset: number): void {
    this._offset = nextOffset;
    this._knownEndOffset = Math.max(this._knownEndOffset, nextOffset);
    if (nextOffset === this._knownEndOffset) this._behindSinceMs = undefined;
    else this._behindSinceMs ??= this._nowMs();
  }

  private async _readSnapshot(): Promise<StoreError | undefined> {
    const requestedAtMs = this._nowMs();
    const offsetBefore = this._offset;
    const snapshot = await this._feed.getSnapshot();
    if (snapshot.err) return snapshot.val;
    this._noteAnswered(requestedAtMs);
    const { values, nextOffset } = snapshot.val;
    // A peer sent a newer set while this read was in progress.
    if (this._offset !== offsetBefore && nextOffset < (this._offset ?? 0)) return undefined;
    this._advanceTo(nextOffset);
    this._freshAtMs = Math.max(this._freshAtMs, requestedAtMs);
    this._listener.onSnapshot(values, this._freshAtMs);
    return undefined;
  }

  private async _readChanges(offset: number): Promise<StoreError | undefined> {
    const requestedAtMs = this._nowMs();
    const waitMs = this._isNextReadImmediate || !this._isReader ? 0 : this._options.waitMs;
    this._isNextReadImmediate = false;
    const page = await this._feed.getChanges(offset, waitMs);
    if (page.err) return page.val;
    this._noteAnswered(requestedAtMs);
    if (page.val.isCompacted) return this._readSnapshot();
    this._knownEndOffset = Math.max(this._knownEndOffset, page.val.endOffset);
    // A peer sent the same changes while this read was in progress.
    if (this._offset !== undefined && this._offset > offset && page.val.nextOffset <= this._offset)
      return undefined;
    this._isReadingOn = isCutOff(page.val) && page.val.nextOffset > offset;
    if (isCutOff(page.val)) this._isNextReadImmediate = true;
    this._advanceTo(page.val.nextOffset);
    this._applyChanges(page.val.changes, isCutOff(page.val) ? this._freshAtMs : requestedAtMs);
    for (const listener of this._readListeners) listener(page.val, offset);
    return undefined;
  }

  private _applyChanges(changes: readonly Change<T>[], freshAtMs: number): void {
    this._freshAtMs = Math.max(this._freshAtMs, freshAtMs);
    this._listener.onChanges(changes, this._freshAtMs);
  }

  /** Reads the store at once, since changes exist beyond those that peers sent. */
  private _catchUp(): void {
    this._behindSinceMs ??= this._nowMs();
    this._isNextReadImmediate = true;
    this._wakeUp.resolve();
  }

  private _isUnavailable(): boolean {
    return this._isLost || this.getAnswerAgeMs() > unavailableAfterMs;
  }

  /**
   * Notifies the listener that the store has recovered, since a peer has read it after a long gap or after a failed read. A page from before
   * the failed read, which a link has held up, tells nothing of a recovery.
   */
  private _noteRelayed(answeredAtMs: number): void {
    const isBack = this._isLost && answeredAtMs > this._lostSinceMs;
    if (answeredAtMs - this._answeredAtMs > unavailableAfterMs || isBack) {
      this._isLost = false;
      this._listener.onRegained();
    }
    this._answeredAtMs = Math.max(this._answeredAtMs, answeredAtMs);
  }

  /** Notifies the listener that the store has recovered before the content of the answer is passed on. */
  private _noteAnswered(requestedAtMs: number): void {
    if (this._isLost) this._listener.onRegained();
    this._answeredAtMs = Math.max(this._answeredAtMs, requestedAtMs);
    this._isLost = false;
  }

  private _noteFailed(error: StoreError, requestedAtMs: number): void {
    this._isNextReadImmediate = true;
    this._failures += 1;
    if (this._isLost) return;
    this._isLost = true;
    this._lostSinceMs = requestedAtMs;
    this._listener.onLost(error);
  }

  private _getRetryMs(): number {
    const { retryMs } = this._options;
    if (this._isReader && !this._isFallbackReader) return retryMs;
    return Math.min(maxRetryMs, retryMs * 2 ** Math.min(this._failures - 1, maxRetryDoublings));
  }
}
