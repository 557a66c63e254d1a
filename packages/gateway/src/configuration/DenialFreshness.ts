import { utils } from "@shedtiller/common";
import type { ActiveConfiguration } from "./ActiveConfiguration.js";

/** Margin for the time between the check of the freshness and the arrival of the response on a congested link. */
const marginMs = 500;
/** Time that a relayed read takes from the reader of a zone to the other instances. */
const relayMs = 100;
/** Maximum duration of a long poll. The freshness must stay much newer than the bound for revoked keys, 5 s in present deployments. */
const maxLongPollMs = 1_500;

/** Dependencies of {@link DenialFreshness}. */
export interface DenialFreshnessStructure {
  readonly activeConfiguration: Pick<ActiveConfiguration, "getFreshnessAgeMs" | "waitForUpdate">;
  /** Returns for how long a newer configuration has been known to exist without being in force at this instance. */
  readonly getBehindMs: () => number;
  /** Returns the time after its acknowledgement by which a configuration has to be in force. */
  readonly getDeadlineMs: () => number;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Decides whether the configuration is fresh enough to respond that a route or a key does not exist. Callers don't retry after such a
 * response, so it has to be true: a newer configuration must not have been in force for longer than the deadline. If the configuration is
 * not fresh enough, the response asks callers to retry. Before this check existed, callers received "no such route" 3.4 s after a
 * configuration with that route had been acknowledged.
 */
export class DenialFreshness {
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: DenialFreshnessStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Returns whether a route or key that is missing from the configuration in force does not exist. */
  isFresh(): boolean {
    const { activeConfiguration, getBehindMs } = this._structure;
    return getBehindMs() === 0 && activeConfiguration.getFreshnessAgeMs() < this._getMaxAgeMs();
  }

  /**
   * Waits up to `timeoutMs` until the configuration in force is fresh, and returns whether it is. It does not wait if the age of the
   * freshness exceeds its maximum by more than `timeoutMs`.
   */
  async waitUntilFresh(timeoutMs: number): Promise<boolean> {
    const { activeConfiguration } = this._structure;
    const endMs = this._nowMs() + timeoutMs;
    const isOverdue = activeConfiguration.getFreshnessAgeMs() > this._getMaxAgeMs() + timeoutMs;
    while (!isOverdue && !this.isFresh() && this._nowMs() < endMs) {
      await activeConfiguration.waitForUpdate(endMs - this._nowMs());
    }
    return this.isFresh();
  }

  private _getMaxAgeMs(): number {
    return getMaxFreshnessAgeMs(this._structure.getDeadlineMs());
  }
}

/**
 * Returns the duration of a long poll for the configuration. A long poll confirms the freshness as of the time when it was sent, so the age
 * of the freshness reaches twice its duration. With this duration it stays fresh enough for "not found" responses, and no request has to
 * wait.
 */
export function getLongPollMs(deadlineMs: number): number {
  return Math.min(maxLongPollMs, Math.max(0, getMaxFreshnessAgeMs(deadlineMs) - relayMs) / 2);
}

function getMaxFreshnessAgeMs(deadlineMs: number): number {
  return Math.max(0, deadlineMs - marginMs);
}
