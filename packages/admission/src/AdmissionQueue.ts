import { results, utils } from "@shedtiller/common";
import { Admission, type AdmissionPermit, type AdmissionRequest } from "./Admission.js";
import { RateMeter } from "./RateMeter.js";
import { AdmissionRefusedError } from "./AdmissionRefusedError.js";

/** Options of {@link AdmissionQueue}. */
export interface AdmissionOptions {
  /** Maximum wait; a request that would wait longer is rejected at once. */
  readonly maxWaitMs: number;
  /** Share of the capacity that each rank below the highest leaves free for the ranks above it. */
  readonly reservePerRank: number;
}

export const defaultAdmissionOptions: AdmissionOptions = { maxWaitMs: 2_000, reservePerRank: 0.05 };

const rateTimeConstantMs = 2_000;
const grantTimeConstantMs = 10_000;
const minRetryMs = 200;
const maxRetryMs = 30_000;
const minLimitShare = 0.5;

interface WaitingRequest {
  readonly request: AdmissionRequest;
  /** Virtual start time within the priority class (start-time fair queuing; Goyal, Vin and Cheng, 1996). */
  readonly startTag: number;
  readonly sinceMs: number;
  readonly done: utils.Deferred<results.Result<AdmissionPermit, AdmissionRefusedError>>;
}

/**
 * Queues requests in front of a pipeline. The highest priority class is granted first, with a minimum share for each of the others; within
 * a class, accounts share the capacity fairly by tokens. Requests that could not be served in time are rejected early (load shedding).
 */
export class AdmissionQueue extends Admission {
  private readonly _waiting: WaitingRequest[] = [];
  private _active = 0;
  private readonly _streamEnds: RateMeter;
  private readonly _grantsByRank = new Map<number, RateMeter>();
  private readonly _finishTags = new Map<string, number>();
  private _virtualTime = 0;

  /**
   * @param _getLimit - Returns the maximum number of active streams.
   * @param _nowMs - Monotonic clock, replaced in tests.
   */
  constructor(
    private readonly _getLimit: () => number,
    private readonly _options: AdmissionOptions = defaultAdmissionOptions,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    super();
    this._streamEnds = new RateMeter(rateTimeConstantMs, _nowMs);
  }

  override get active(): number {
    return this._active;
  }

  override get waiting(): number {
    return this._waiting.length;
  }

  override acquire(
    request: AdmissionRequest,
  ): Promise<results.Result<AdmissionPermit, AdmissionRefusedError>> {
    const waiting = this._createWaiting(request);
    this._waiting.push(waiting);
    request.signal.addEventListener("abort", () => this._reject(waiting, "cancelled", 0), { once: true });
    this._grantAll();
    if (this._waiting.includes(waiting)) this._shed();
    return waiting.done.promise;
  }

  /** Grants further requests after the limit has changed. */
  refresh(): void {
    this._grantAll();
  }

  private _createWaiting(request: AdmissionRequest): WaitingRequest {
    const tagKey = `${request.rank}|${request.account}`;
    const startTag = Math.max(this._virtualTime, this._finishTags.get(tagKey) ?? 0);
    this._finishTags.set(tagKey, startTag + request.tokens);
    return { request, startTag, sinceMs: this._nowMs(), done: new utils.Deferred() };
  }

  private _grantAll(): void {
    for (;;) {
      const next = this._getNext();
      if (next === undefined) return;
      this._grant(next);
    }
  }

  /** Returns the next request to grant: first from classes below their minimum share, then by rank, and within a rank by start tag. */
  private _getNext(): WaitingRequest | undefined {
    const starved = this._waiting.filter(
      (waiting) => this._isBelowFloor(waiting) && this._active < this._getLimit(),
    );
    const candidates =
      starved.length > 0
        ? starved
        : this._waiting.filter((waiting) => this._hasCapacity(waiting.request.rank));
    return candidates.reduce<WaitingRequest | undefined>(
      (best, waiting) => (best === undefined || isBefore(waiting, best) ? waiting : best),
      undefined,
    );
  }

  private _isBelowFloor(waiting: WaitingRequest): boolean {
    const { rank, floorShare } = waiting.request;
    if (floorShare <= 0) return false;
    const own = this._grantsByRank.get(rank)?.getPerSecond() ?? 0;
    const all = utils.getSum([...this._grantsByRank.values()].map((meter) => meter.getPerSecond()));
    return own < floorShare * all;
  }

  /** Returns whether a rank has capacity. Lower ranks leave some capacity free, so that higher ones need not wait for a stream to end. */
  private _hasCapacity(rank: number): boolean {
    const share = Math.max(minLimitShare, 1 - this._options.reservePerRank * (rank - 1));
    return this._active < Math.max(1, Math.floor(this._getLimit() * share));
  }

  private _grant(waiting: WaitingRequest): void {
    this._remove(waiting);
    this._active += 1;
    this._virtualTime = Math.max(this._virtualTime, waiting.startTag);
    const { rank, tokens } = waiting.request;
    const meter = this._grantsByRank.get(rank) ?? new RateMeter(grantTimeConstantMs, this._nowMs);
    this._grantsByRank.set(rank, meter);
    meter.add(tokens);
    this._dropOldTags();
    let isReleased = false;
    const release = (): void => {
      if (isReleased) return;
      isReleased = true;
      this._active -= 1;
      this._streamEnds.add(1);
      this._grantAll();
    };
    waiting.done.resolve(results.Ok({ waitedMs: this._nowMs() - waiting.sinceMs, release }));
  }

  /** Rejects requests, the lowest class and the newest first, until the remaining ones can be served in time. */
  private _shed(): void {
    for (;;) {
      const late = this._findLate();
      if (late === undefined) return;
      this._reject(late, "overload", this._getRetryAfterMs());
    }
  }

  private _findLate(): WaitingRequest | undefined {
    const ordered = [...this._waiting].sort((a, b) => (isBefore(a, b) ? -1 : 1));
    const perSecond = this._getStreamEndsPerSecond();
    for (let index = ordered.length - 1; index >= 0; index--) {
      const waiting = ordered[index];
      if (waiting === undefined) continue;
      const waitMs = ((index + 1) / perSecond) * utils.msPerSecond;
      const maxWaitMs = Math.min(this._options.maxWaitMs, waiting.request.deadlineMs - this._nowMs());
      if (waitMs > maxWaitMs) return waiting;
    }
    return undefined;
  }

  /** Returns the streams that end per second. Before any has ended, this is the limit of active streams, since most take about a second. */
  private _getStreamEndsPerSecond(): number {
    const measured = this._streamEnds.getCorrectedPerSecond();
    return measured > 0 ? Math.max(1, measured) : Math.max(1, this._getLimit());
  }

  /** Returns the time that it takes to serve the present queue, within bounds. */
  private _getRetryAfterMs(): number {
    const perSecond = this._getStreamEndsPerSecond();
    const drainMs = (this._waiting.length / perSecond) * utils.msPerSecond;
    return Math.min(maxRetryMs, Math.max(minRetryMs, drainMs));
  }

  private _reject(waiting: WaitingRequest, reason: "overload" | "cancelled", retryAfterMs: number): void {
    if (!this._remove(waiting)) return;
    waiting.done.resolve(results.Err(new AdmissionRefusedError(reason, retryAfterMs)));
  }

  private _remove(waiting: WaitingRequest): boolean {
    const index = this._waiting.indexOf(waiting);
    if (index < 0) return false;
    this._waiting.splice(index, 1);
    return true;
  }

  /** Drops finish tags that the virtual time has passed, since they no longer affect start tags. */
  private _dropOldTags(): void {
    const tagsBeforeSweep = 1_000;
    if (this._finishTags.size < tagsBeforeSweep) return;
    for (const [key, tag] of this._finishTags) if (tag <= this._virtualTime) this._finishTags.delete(key);
  }
}

function isBefore(a: WaitingRequest, b: WaitingRequest): boolean {
  if (a.request.rank !== b.request.rank) return a.request.rank < b.request.rank;
  return a.startTag < b.startTag;
}
