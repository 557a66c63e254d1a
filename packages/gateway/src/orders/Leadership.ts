/** Keeps up the campaign, and tells whether this instance may give orders now. */
import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { LeaderElection } from "./LeaderElection.js";

/** Campaigns in a term: one may be lost without losing the office. */
const campaignsPerTerm = 3;
/** The holder stops acting this much before its term ends, by its own clock. */
const safetyMs = 500;

/** Choices of a seat. */
export interface LeaderSeatOptions {
  /** Whether this instance campaigns though it does not lead. The one that leads goes on in any case. */
  readonly mayCampaign?: () => boolean;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** The seat of one instance. */
export class Leadership {
  private _untilMs = Number.NEGATIVE_INFINITY;
  private _isHeld = false;
  /** Whether the store may count this instance among the candidates. */
  private _isMember = false;
  private readonly _nowMs: () => number;

  constructor(
    private readonly _election: LeaderElection,
    private readonly _log: DecisionLog,
    private readonly _options: LeaderSeatOptions = {},
  ) {
    this._nowMs = _options.nowMs ?? utils.monotonicMs;
  }

  /** Whether this instance leads now. To be asked just before each order. */
  isLeader(): boolean {
    return this._nowMs() < this._untilMs;
  }

  async run(signal: AbortSignal): Promise<void> {
    const intervalMs = this._election.termMs / campaignsPerTerm;
    await utils.repeat(
      intervalMs,
      signal,
      () => this.campaignIfDue(),
      (error) => {
        this._log.error("campaign-failed", { cause: String(error) });
      },
    );
    if (this.isLeader()) await this._election.resign();
    this._untilMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * Campaigns, or withdraws where this instance is no candidate any more: the store may give the office to any member of the
   * group, and one that does not look would hold it unused for a whole term.
   */
  async campaignIfDue(): Promise<void> {
    if (this.isLeader() || this._options.mayCampaign?.() !== false) await this.campaign();
    else if (this._isMember) await this._withdraw();
    this._noteChange();
  }

  private async _withdraw(): Promise<void> {
    this._isMember = false;
    await this._election.resign();
  }

  /** Campaigns once. A term counts from before the call, since the store may have begun it any time after. */
  async campaign(): Promise<void> {
    const startedAtMs = this._nowMs();
    this._isMember = true;
    const won = await this._election.campaign();
    if (won.ok) {
      this._untilMs = won.val ? startedAtMs + this._election.termMs - safetyMs : Number.NEGATIVE_INFINITY;
    }
    this._noteChange();
  }

  private _noteChange(): void {
    if (this._isHeld === this.isLeader()) return;
    this._isHeld = this.isLeader();
    this._log.info(this._isHeld ? "leader-began" : "leader-ended", { untilMs: Math.round(this._untilMs) });
  }
}
