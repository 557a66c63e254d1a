/** A duty that one instance of each zone has for all of them, without an agreement: two may hold it for a moment. */
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";

/** A holder that shows no sign of work for this long is passed over. */
const longestSilenceMs = 1_000;
/** How long it is passed over: past the time after which a dead link is dropped and ends its candidacy. */
const passOverMs = 15_000;

/** What a duty works with. */
export interface ZoneDutyStructure {
  readonly name: string;
  readonly membership: Pick<Membership, "self" | "getZoneRoleCandidates">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/** Who of this zone has the duty, as this instance sees it. */
export class ZoneDuty {
  private readonly _nowMs: () => number;
  /** Instances that were silent, and until when they are passed over. */
  private readonly _passedOver = new Map<string, number>();
  private _holder: string;
  private _signAtMs: number;

  constructor(private readonly _structure: ZoneDutyStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._holder = _structure.membership.self.name;
    this._signAtMs = this._nowMs();
  }

  get holder(): string {
    return this._holder;
  }

  /** Whether this instance has the duty now. */
  get isOwn(): boolean {
    return this._holder === this._structure.membership.self.name;
  }

  /** Whether this instance is the only one of its zone that it knows. */
  get isAlone(): boolean {
    return this._structure.membership.getZoneRoleCandidates().length <= 1;
  }

  /** Notes that the holder does its duty. */
  noteSign(): void {
    this._signAtMs = this._nowMs();
  }

  /** Takes note that this instance stood still: the holder's signs of that time are not read yet. */
  noteSuspension(pauseMs: number): void {
    this._signAtMs += pauseMs;
  }

  /** Passes over a holder that was silent for too long, and picks anew; tells whether the holder changed. */
  update(): boolean {
    const { name, log } = this._structure;
    const nowMs = this._nowMs();
    if (nowMs - this._signAtMs > longestSilenceMs) this._passedOver.set(this._holder, nowMs + passOverMs);
    const picked = this._pick(nowMs);
    if (picked === this._holder) return false;
    log.info("zone-duty-changed", { duty: name, before: this._holder, holder: picked });
    this._holder = picked;
    this._signAtMs = nowMs;
    return true;
  }

  /** Where all are passed over, each of them counts again. */
  private _pick(nowMs: number): string {
    const { membership, name } = this._structure;
    const all = membership.getZoneRoleCandidates();
    const candidates = all.filter((candidate) => nowMs >= (this._passedOver.get(candidate) ?? 0));
    return utils.pickOwner(name, candidates) ?? utils.pickOwner(name, all) ?? membership.self.name;
  }
}
