import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";

/** A holder without activity for this long is excluded from the election. */
const maxSilenceMs = 1_000;
/** Duration of an exclusion. It exceeds the time after which a dead link is dropped, which ends the candidacy of its instance. */
const exclusionMs = 15_000;

/** Dependencies of {@link ZoneRole}. */
export interface ZoneRoleStructure {
  readonly name: string;
  readonly membership: Pick<Membership, "self" | "getZoneRoleCandidates">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/**
 * Elects the instance that holds a role for its availability zone, as seen by this instance. The election needs no consensus, so two
 * instances may hold the role for a moment.
 */
export class ZoneRole {
  private readonly _nowMs: () => number;
  /** Times until which silent instances are excluded, by name. */
  private readonly _excludedUntilMs = new Map<string, number>();
  private _holder: string;
  private _activeAtMs: number;

  constructor(private readonly _structure: ZoneRoleStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._holder = _structure.membership.self.name;
    this._activeAtMs = this._nowMs();
  }

  /** Name of the instance that holds the role. */
  get holder(): string {
    return this._holder;
  }

  /** Whether this instance holds the role now. */
  get isOwn(): boolean {
    return this._holder === this._structure.membership.self.name;
  }

  /** Whether no other instance of this zone is known. */
  get isAlone(): boolean {
    return this._structure.membership.getZoneRoleCandidates().length <= 1;
  }

  /** Records that the holder has performed its role. */
  noteActivity(): void {
    this._activeAtMs = this._nowMs();
  }

  /**
   * Records that this instance was suspended. The suspension doesn't count as silence of the holder, since messages that arrived in the
   * meantime are not processed yet.
   */
  noteSuspension(pauseMs: number): void {
    this._activeAtMs += pauseMs;
  }

  /** Excludes a holder that was silent for too long, repeats the election, and returns whether the holder changed. */
  update(): boolean {
    const { name, log } = this._structure;
    const nowMs = this._nowMs();
    if (nowMs - this._activeAtMs > maxSilenceMs) this._excludedUntilMs.set(this._holder, nowMs + exclusionMs);
    const elected = this._elect(nowMs);
    if (elected === this._holder) return false;
    log.info("zone-duty-changed", { duty: name, before: this._holder, holder: elected });
    this._holder = elected;
    this._activeAtMs = nowMs;
    return true;
  }

  /** Returns the elected instance. If all instances are excluded, all of them are candidates again. */
  private _elect(nowMs: number): string {
    const { membership, name } = this._structure;
    const all = membership.getZoneRoleCandidates();
    const candidates = all.filter((candidate) => nowMs >= (this._excludedUntilMs.get(candidate) ?? 0));
    return utils.pickOwner(name, candidates) ?? utils.pickOwner(name, all) ?? membership.self.name;
  }
}
