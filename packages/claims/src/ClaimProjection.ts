/** The fold of the claims stream: which claim holds each key. The same on every instance, at every offset. */
import { utils } from "@shedtiller/common";
import type { LogRecord, LogSink } from "@shedtiller/logservice";
import { claimRecordSchema, type Claim } from "./claimRecords.js";

/** How far a key's time may lie ahead of the log's. */
export const largestSkewMs = 60_000;

/** What became of a claim. */
export type Verdict =
  | { readonly kind: "won" }
  | { readonly kind: "lost"; readonly holder: string }
  /** The key is past the horizon, or its time lies ahead: whether it ran is no longer known. */
  | { readonly kind: "out-of-window" };

interface HeldKey {
  readonly claimId: string;
  readonly holder: string;
  readonly timeMs: number;
}

const sweepEveryRecords = 64;

/**
 * Keys newer than the horizon are held; older ones are refused, so that memory stays bounded and "at most once" holds
 * for ever. The horizon is the latest time that the log gave a record, less the window: no instance's clock counts.
 * It is safe as long as the log keeps records for longer than window + `largestSkewMs`.
 */
export class ClaimProjection implements LogSink {
  /** Records that could not be read. */
  unknownRecords = 0;
  private readonly _keys = new Map<string, HeldKey>();
  private readonly _waiting = new Map<string, utils.Deferred<Verdict>>();
  private _latestMs = 0;
  private _recordsSinceSweep = 0;

  /** @param windowMs - How old a key may be. */
  constructor(readonly windowMs: number) {}

  /** Keys at or before this time are refused. */
  get horizonMs(): number {
    return this._latestMs - this.windowMs;
  }

  get size(): number {
    return this._keys.size;
  }

  /** Who holds a key, as far as the log has been read. */
  getHolder(key: string): string | undefined {
    return this._keys.get(key)?.holder;
  }

  /** Waits until the fold has met a claim. */
  waitForVerdict(claimId: string): Promise<Verdict> {
    const known = this._waiting.get(claimId) ?? new utils.Deferred<Verdict>();
    this._waiting.set(claimId, known);
    return known.promise;
  }

  /** Ends the waiting for a claim. */
  forgetVerdict(claimId: string): void {
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

  /** Claims in records that aged out unread are older than the horizon, by the condition above. */
  skipTo(): void {
    this._keys.clear();
  }

  private _decide(claim: Claim, holder: string): void {
    const known = this._keys.get(claim.key);
    // The same record can be in the log twice, when its first reply was lost.
    if (known?.claimId === claim.claimId) return;
    const timeMs = utils.getIdTimeMs(claim.key);
    if (known !== undefined) return this._settle(claim, { kind: "lost", holder: known.holder });
    if (timeMs === undefined || timeMs <= this.horizonMs || timeMs > this._latestMs + largestSkewMs) {
      return this._settle(claim, { kind: "out-of-window" });
    }
    this._keys.set(claim.key, { claimId: claim.claimId, holder, timeMs });
    this._settle(claim, { kind: "won" });
  }

  private _abandon(claim: Claim): void {
    if (this._keys.get(claim.key)?.claimId === claim.claimId) this._keys.delete(claim.key);
  }

  private _settle(claim: Claim, verdict: Verdict): void {
    this._waiting.get(claim.claimId)?.resolve(verdict);
  }

  private _sweep(): void {
    this._recordsSinceSweep += 1;
    if (this._recordsSinceSweep < sweepEveryRecords) return;
    this._recordsSinceSweep = 0;
    for (const [key, held] of this._keys) if (held.timeMs <= this.horizonMs) this._keys.delete(key);
  }
}
