import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { LeaderElection } from "./LeaderElection.js";

/** Campaigns per leadership term, so that a single lost campaign does not end the leadership. */
const campaignsPerTerm = 3;
/** The leader stops acting this long before its term ends by its own clock. */
const safetyMarginMs = 500;

/** Options of {@link Leadership}. */
export interface LeadershipOptions {
  /** Whether this instance campaigns while it does not lead. A leader campaigns in any case. */
  readonly mayCampaign?: () => boolean;
  /** Whether this instance can lead. A leader that can't resigns, so that another instance takes over at once. */
  readonly canLead?: () => boolean;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** The leadership of this instance: campaigns regularly, and determines whether the instance may send orders now. */
export class Leadership {
  private _untilMs = Number.NEGATIVE_INFINITY;
  private _wasLeader = false;
  /** Whether the store may count this instance among the candidates. */
  private _isMember = false;
  private readonly _nowMs: () => number;

  constructor(
    private readonly _election: LeaderElection,
    private readonly _log: DecisionLog,
    private readonly _options: LeadershipOptions = {},
  ) {
    this._nowMs = _options.nowMs ?? utils.monotonicMs;
  }

  /** Returns whether this instance leads now. Checked immediately before each order. */
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
   * Campaigns, or withdraws if this instance is no longer a candidate: the store may elect any member of the group, and a member that does
   * not campaign would occupy the leadership for a whole term without using it.
   */
  async campaignIfDue(): Promise<void> {
    const canLead = this._options.canLead?.() !== false;
    if (!canLead) this._untilMs = Number.NEGATIVE_INFINITY;
    if (canLead && (this.isLeader() || this._options.mayCampaign?.() !== false)) await this.campaign();
    else if (this._isMember) await this._withdraw();
    this._noteChange();
  }

  private async _withdraw(): Promise<void> {
    this._isMember = false;
    await this._election.resign();
  }

  /** Campaigns once. The term counts from the start of the call, since the store may have granted the term at any time during the call. */
  async campaign(): Promise<void> {
    const startedAtMs = this._nowMs();
    this._isMember = true;
    const won = await this._election.campaign();
    if (won.ok) {
      this._untilMs = won.val
        ? startedAtMs + this._election.termMs - safetyMarginMs
        : Number.NEGATIVE_INFINITY;
    }
    this._noteChange();
  }

  private _noteChange(): void {
    if (this._wasLeader === this.isLeader()) return;
    this._wasLeader = this.isLeader();
    this._log.info(this._wasLeader ? "leader-began" : "leader-ended", { untilMs: Math.round(this._untilMs) });
  }
}
