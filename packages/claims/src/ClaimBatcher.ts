/** Gathers claims into few appends, paced so that all instances together stay within the log's rate. */
import { errors, utils } from "@shedtiller/common";
import type { LogService } from "@shedtiller/logservice";
import { claimRecordVersion, claimsStream, type Claim, type ClaimRecord } from "./claimRecords.js";

/** The part of the log's rate that claims may use. */
const claimsShare = 0.8;
const largestBatch = 500;
const appendAgainMs = 200;

/** What a batcher is made of. */
export interface ClaimBatcherStructure {
  readonly log: LogService;
  /** Name of this instance. */
  readonly holder: string;
  /** Appends a second that the log takes, from everybody. */
  readonly appendsPerSecond: number;
  /** How many instances append claims now. */
  readonly countAppenders: () => number;
}

/** One append is under way at a time; whatever comes meanwhile goes into the next. */
export class ClaimBatcher {
  private _claims: Claim[] = [];
  private _abandoned: Claim[] = [];
  /** Ids of claims whose append failed in a way that does not prove that it took no effect. */
  private readonly _perhapsSent = new Set<string>();
  private readonly _abandoningKeys = new Set<string>();
  private _isRunning = false;
  private _lastAppendMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly _structure: ClaimBatcherStructure,
    private readonly _signal: AbortSignal,
  ) {}

  /** Puts a claim into the next append. */
  addClaim(claim: Claim): void {
    this._claims.push(claim);
    this._wake();
  }

  /** Gives a claim back that never ran and never will. One that was never sent is just forgotten. */
  abandon(claim: Claim): void {
    const index = this._claims.indexOf(claim);
    if (index >= 0) this._claims.splice(index, 1);
    // A claim that waits to be sent again may be in the log already, if only a reply was lost.
    if (index >= 0 && !this._perhapsSent.has(claim.claimId)) return;
    this._abandoned.push(claim);
    this._abandoningKeys.add(claim.key);
    this._wake();
  }

  /** Whether a claim of a key was given back here and the log has not confirmed that yet. */
  isAbandoning(key: string): boolean {
    return this._abandoningKeys.has(key);
  }

  /** Time between appends, by which all appenders together keep to their share of the rate. */
  get intervalMs(): number {
    const { appendsPerSecond, countAppenders } = this._structure;
    return (utils.msPerSecond * Math.max(1, countAppenders())) / (appendsPerSecond * claimsShare);
  }

  private _wake(): void {
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
    const abandoned = this._abandoned.splice(0, largestBatch);
    const abandonedIds = new Set(abandoned.map((claim) => claim.claimId));
    // A claim that was given back while an append of it failed must not be sent again.
    this._claims = this._claims.filter((claim) => !abandonedIds.has(claim.claimId));
    const record: ClaimRecord = {
      version: claimRecordVersion,
      type: "claims",
      holder: this._structure.holder,
      claims: this._claims.splice(0, largestBatch),
      abandoned,
    };
    this._lastAppendMs = utils.monotonicMs();
    const appended = await this._structure.log.append(claimsStream, utils.newId(), record);
    if (appended.ok) {
      for (const claim of abandoned) this._abandoningKeys.delete(claim.key);
      for (const claim of [...record.claims, ...abandoned]) this._perhapsSent.delete(claim.claimId);
      return;
    }
    const isProvenUnsent = errors.hasCode(appended.val, "log_refused", "not_reached");
    if (!isProvenUnsent) for (const claim of record.claims) this._perhapsSent.add(claim.claimId);
    // A claim that is in the log twice counts once, so that whatever may be missing is sent again.
    this._claims.unshift(...record.claims);
    this._abandoned.unshift(...abandoned);
    const backOffMs = errors.hasCode(appended.val, "log_refused") ? appendAgainMs : appendAgainMs * 2;
    await utils.sleep(backOffMs, this._signal).catch(() => undefined);
  }
}
