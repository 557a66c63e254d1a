import { errors, utils } from "@shedtiller/common";
import type { LogService } from "@shedtiller/logservice";
import { claimRecordVersion, claimsStream, type Claim, type ClaimRecord } from "./claimRecords.js";

/** Share of the log's append rate that claims may use. */
const claimsShare = 0.8;
const maxBatchSize = 500;
const retryDelayMs = 200;

/** Dependencies of {@link ClaimBatcher}. */
export interface ClaimBatcherStructure {
  readonly log: LogService;
  /** Name of this instance. */
  readonly holder: string;
  /** Appends per second that the log accepts from all instances together. */
  readonly appendsPerSecond: number;
  /** Returns the number of instances that append claims now. */
  readonly countAppenders: () => number;
}

/**
 * Appends claims to the log in batches, paced so that all instances together stay within the append rate of the log. One append is in flight
 * at a time; claims that are added in the meantime go into the next one.
 */
export class ClaimBatcher {
  private _claims: Claim[] = [];
  private _abandoned: Claim[] = [];
  /** Ids of claims whose append failed, but may have taken effect. */
  private readonly _possiblySent = new Set<string>();
  private readonly _abandoningKeys = new Set<string>();
  private _isRunning = false;
  private _lastAppendMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _structure: ClaimBatcherStructure,
    private readonly _signal: AbortSignal,
  ) {}

  /** Adds a claim to the next append. */
  addClaim(claim: Claim): void {
    this._claims.push(claim);
    this._ensureRunning();
  }

  /** Abandons a claim whose work did not run and never will. A claim that was never sent is just removed from the queue. */
  abandon(claim: Claim): void {
    const index = this._claims.indexOf(claim);
    if (index >= 0) this._claims.splice(index, 1);
    // A claim that waits to be sent again may already be in the log if only the reply was lost.
    if (index >= 0 && !this._possiblySent.has(claim.claimId)) return;
    this._abandoned.push(claim);
    this._abandoningKeys.add(claim.key);
    this._ensureRunning();
  }

  /** Returns whether this instance has abandoned a claim of a key and the log has not confirmed that yet. */
  isAbandoning(key: string): boolean {
    return this._abandoningKeys.has(key);
  }

  /** Time between two appends that keeps all instances together within the share of the rate. */
  get intervalMs(): number {
    const { appendsPerSecond, countAppenders } = this._structure;
    return (utils.msPerSecond * Math.max(1, countAppenders())) / (appendsPerSecond * claimsShare);
  }

  private _ensureRunning(): void {
    if (this._isRunning) return;
    this._isRunning = true;
    void this._run().finally(() => {
      this._isRunning = false;
    });
  }

  private async _run(): Promise<void> {
    while (this._claims.length + this._abandoned.length > 0 && !this._signal.aborted) {
      const waitMs = this._lastAppendMs + this.intervalMs - utils.monotonicMs();
      if (waitMs > 0) await utils.sleep(waitMs, this._signal).catch(() => undefined);
      if (this._signal.aborted) return;
      await this._appendBatch();
    }
  }

  private async _appendBatch(): Promise<void> {
    const abandoned = this._abandoned.splice(0, maxBatchSize);
    const abandonedIds = new Set(abandoned.map((claim) => claim.claimId));
    // A claim that was abandoned while its append failed must not be sent again.
    this._claims = this._claims.filter((claim) => !abandonedIds.has(claim.claimId));
    const record: ClaimRecord = {
      version: claimRecordVersion,
      type: "claims",
      holder: this._structure.holder,
      claims: this._claims.splice(0, maxBatchSize),
      abandoned,
    };
    this._lastAppendMs = utils.monotonicMs();
    const appended = await this._structure.log.append(claimsStream, utils.newId(), record);
    if (appended.ok) {
      for (const claim of abandoned) this._abandoningKeys.delete(claim.key);
      for (const claim of [...record.claims, ...abandoned]) this._possiblySent.delete(claim.claimId);
      return;
    }
    const isProvenUnsent = errors.hasCode(appended.val, "log_refused", "not_reached");
    if (!isProvenUnsent) for (const claim of record.claims) this._possiblySent.add(claim.claimId);
    // A claim that is in the log twice counts once, so everything that may be missing can be sent again.
    this._claims.unshift(...record.claims);
    this._abandoned.unshift(...abandoned);
    const backOffMs = errors.hasCode(appended.val, "log_refused") ? retryDelayMs : retryDelayMs * 2;
    await utils.sleep(backOffMs, this._signal).catch(() => undefined);
  }
}
