import { utils } from "@shedtiller/common";
import type { LogRecord, LogSink } from "@shedtiller/logservice";
import { claimRecordSchema, type Claim } from "./claimRecords.js";

/** Maximum time by which the timestamp of a key may be ahead of the log's time. */
export const maxSkewMs = 60_000;

/** Outcome of a claim. */
export type ClaimOutcome =
  | { readonly kind: "won" }
  | { readonly kind: "lost"; readonly holder: string }
  /** The key is older than the horizon or its timestamp is in the future, so it is not known whether its work ran. */
  | { readonly kind: "out-of-window" };

interface StoredKey {
  readonly claimId: string;
  readonly holder: string;
  readonly timeMs: number;
}

const sweepEveryRecords = 64;

/**
 * Projection of the claims stream: which claim holds each key. It is the same on every instance at every offset.
 *
 * Keys that are newer than the horizon are stored, and older ones are rejected, so memory stays bounded and "at most once" holds for ever.
 * The horizon is the latest timestamp that the log assigned to a record, minus the window, and does not depend on the clock of any instance.
 * It is safe as long as the log retains records for longer than the window plus {@link maxSkewMs}.
 */
export class ClaimProjection implements LogSink {
  /** Number of records that could not be parsed. */
  unknownRecords = 0;
  private readonly _keys = new Map<string, StoredKey>();
  private readonly _waiting = new Map<string, utils.Deferred<ClaimOutcome>>();
  private _latestMs = 0;
  private _recordsSinceSweep = 0;

  /** @param windowMs - Maximum age of a key. */
  constructor(readonly windowMs: number) {}

  /** Time at or before which keys are rejected. */
  get horizonMs(): number {
    return this._latestMs - this.windowMs;
  }

  /** Number of stored keys. */
  get size(): number {
    return this._keys.size;
  }

  /** Returns the instance that holds a key, as far as the log has been read. */
  getHolder(key: string): string | undefined {
    return this._keys.get(key)?.holder;
  }

  /** Waits until the projection has processed a claim. */
  waitForOutcome(claimId: string): Promise<ClaimOutcome> {
    const known = this._waiting.get(claimId) ?? new utils.Deferred<ClaimOutcome>();
    this._waiting.set(claimId, known);
    return known.promise;
  }

  /** Stops waiting for a claim. */
  stopWaiting(claimId: string): void {
    this._waiting.delete(claimId);
  }

  acceptRecord(record: LogRecord): void {
    this._latestMs = Math.max(this._latestMs, record.atMs);
    this._sweep();
    const parsed = claimRecordSchema.safeParse(record.payload);
    if (!parsed.success) {
      this.unknownRecords += 1;
      return;
    }
    for (const claim of parsed.data.abandoned) this._abandon(claim);
    for (const claim of parsed.data.claims) this._decide(claim, parsed.data.holder);
  }

  /**
   * Clears all keys when unread records have expired from the log. The claims in these records are older than the horizon, by the condition
   * on the retention of the log.
   */
  skipTo(): void {
    this._keys.clear();
  }

  private _decide(claim: Claim, holder: string): void {
    const known = this._keys.get(claim.key);
    // The same record can be in the log twice if the first reply was lost.
    if (known?.claimId === claim.claimId) return;
    const timeMs = utils.getIdTimeMs(claim.key);
    if (known !== undefined) return this._settle(claim, { kind: "lost", holder: known.holder });
    if (timeMs === undefined || timeMs <= this.horizonMs || timeMs > this._latestMs + maxSkewMs) {
      return this._settle(claim, { kind: "out-of-window" });
    }
    this._keys.set(claim.key, { claimId: claim.claimId, holder, timeMs });
    this._settle(claim, { kind: "won" });
  }

  private _abandon(claim: Claim): void {
    if (this._keys.get(claim.key)?.claimId === claim.claimId) this._keys.delete(claim.key);
  }

  private _settle(claim: Claim, outcome: ClaimOutcome): void {
    this._waiting.get(claim.claimId)?.resolve(outcome);
  }

  private _sweep(): void {
    this._recordsSinceSweep += 1;
    if (this._recordsSinceSweep < sweepEveryRecords) return;
    this._recordsSinceSweep = 0;
    for (const [key, stored] of this._keys) if (stored.timeMs <= this.horizonMs) this._keys.delete(key);
  }
}
