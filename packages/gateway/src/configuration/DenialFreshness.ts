/**
 * Whether this instance may say that a route or a key does not exist. Such an answer is final: callers don't come back. It is true only
 * if nothing newer has been in force for longer than the deadline, so it needs a proof that is younger than that; without one the caller
 * is told to come back. In the incident that led to this, callers got "no such route" 3.4 s after a configuration that has it.
 */
import { utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "./ActiveConfiguration.js";

/** For the time between the check of a proof and the arrival of the answer, on links that are full. */
const marginMs = 500;
/** What a proof takes from the instance that reads for its zone to the others. */
const tellingMs = 100;
/** Reads are held no longer than this, since a proof has to stay well below the bound on revoked keys, 5 s on the deployments at hand. */
const longestHeldReadMs = 1_500;

/** What a proof of denials is made of. */
export interface DenialFreshnessStructure {
  readonly activeConfiguration: Pick<ActiveConfiguration, "getFreshnessAgeMs" | "waitForUpdate">;
  /** For how long a newer configuration has been known to exist that is not in force here. */
  readonly getBehindMs: () => number;
  /** Within this of its acknowledgement a configuration has to be in force. */
  readonly getDeadlineMs: () => number;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** One an instance. */
export class DenialFreshness {
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: DenialFreshnessStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Whether what is not in the configuration in force does not exist. */
  isFresh(): boolean {
    const { activeConfiguration: keeper, getBehindMs } = this._structure;
    return getBehindMs() === 0 && keeper.getFreshnessAgeMs() < this._getLongestAgeMs();
  }

  /** Waits for a proof, or for a newer configuration, and tells whether there is a proof now. One that is long overdue isn't waited for. */
  async waitUntilFresh(patienceMs: number): Promise<boolean> {
    const { activeConfiguration: keeper } = this._structure;
    const endMs = this._nowMs() + patienceMs;
    const isOverdue = keeper.getFreshnessAgeMs() > this._getLongestAgeMs() + patienceMs;
    while (!isOverdue && !this.isFresh() && this._nowMs() < endMs) {
      await keeper.waitForUpdate(endMs - this._nowMs());
    }
    return this.isFresh();
  }

  private _getLongestAgeMs(): number {
    return getLongestProofAgeMs(this._structure.getDeadlineMs());
  }
}

/**
 * How long the store may hold a read of the configuration. A held read proves what was so when it was sent, so that a proof gets twice as
 * old as that: held for this long, proofs stay young enough for denials, and no request has to wait for one.
 */
export function getLongPollMs(deadlineMs: number): number {
  return Math.min(longestHeldReadMs, Math.max(0, getLongestProofAgeMs(deadlineMs) - tellingMs) / 2);
}

function getLongestProofAgeMs(deadlineMs: number): number {
  return Math.max(0, deadlineMs - marginMs);
}
