/** How suspected requests are sent: with which risk, one after the other, and apart from other suspects. */
import { quarantineWeight, sameEventMs, type CrashLedger, type RequestTraits } from "@shedtiller/crashes";
import type { SuspectRequest, TrackedRun } from "./TrackedRun.js";

/**
 * Maximum time for which a suspect waits until another run with the same trait has survived its initial phase at this instance or ended.
 */
const maxTurnWaitMs = 600;
const turnPollIntervalMs = 10;
/**
 * Weight from which a request counts as a high risk. Requests that fail together are often retried together, so that two crashes may still
 * be coincidence; a third one should not cost a zone its service.
 */
const highRiskWeight = 2;
/**
 * Time after the newest evidence for which a risk stays high: a crashed engine has usually loaded its layers again by then. A suspect that
 * waited longer for a second engine with the first layers might never run, and so never be cleared.
 */
const maxHighRiskMs = 5_000;

/** How likely a request is to crash the engine that its chain begins with. */
export type CrashRisk = "none" | "some" | "high";

/** Dependencies of {@link SuspectCaution}. */
export interface SuspectCautionStructure {
  readonly ledger: CrashLedger;
  /** Returns the runs of this instance that are in their initial phase, or ended too recently to clear their requests. */
  readonly getStartingRuns: () => Iterable<TrackedRun>;
  /** Returns the weight of the evidence against a trait, including that of endpoints under investigation. */
  readonly getWeight: (trait: string) => number;
  /** Returns whether an endpoint that ran the trait is being probed. */
  readonly isUndecided: (trait: string) => boolean;
  readonly isKnownHarmless: (trait: string) => boolean;
  readonly nowMs: () => number;
  readonly pause: (durationMs: number) => Promise<void>;
}

/** Decides how much caution a suspected request needs. Each instance has one. */
export class SuspectCaution {
  constructor(private readonly _structure: SuspectCautionStructure) {}

  /** Returns the risk of a request right before it is sent. */
  getRisk({ traits }: SuspectRequest): CrashRisk {
    const { ledger, getWeight, nowMs } = this._structure;
    const quarantined = ledger.getQuarantined(traits);
    if (quarantined.length > 0)
      return nowMs() - ledger.getDueAtMs(quarantined) < maxHighRiskMs ? "high" : "some";
    const suspected = this._getSuspected(traits);
    if (suspected.length === 0) return "none";
    const isHigh = suspected.some((trait) => getWeight(trait) >= highRiskWeight && this._isRecent(trait));
    return isHigh ? "high" : "some";
  }

  /** Waits until the risk of a request can be evaluated: a suspect has at most one run in its initial phase at a time per instance. */
  async waitForTurn({ traits }: SuspectRequest): Promise<void> {
    const { nowMs, pause } = this._structure;
    const untilMs = nowMs() + maxTurnWaitMs;
    while (this._mustWait(traits) && nowMs() < untilMs) await pause(turnPollIntervalMs);
  }

  /**
   * Returns the endpoints at which other suspects are in their initial phase, since a crash there could not be attributed to one of them.
   */
  getAvoidedEndpointIds({ traits }: SuspectRequest): string[] {
    if (this._getSuspected(traits).length === 0) return [];
    return [...this._structure.getStartingRuns()].flatMap((run) => {
      const suspected = this._getSuspected(run.request.traits);
      return suspected.some((trait) => !traits.includes(trait)) ? [run.endpointId] : [];
    });
  }

  /** Returns whether a run with one of these traits is in its initial phase at this instance. */
  isStarting(traits: RequestTraits): boolean {
    for (const run of this._structure.getStartingRuns())
      if (run.request.traits.some((trait) => traits.includes(trait))) return true;
    return false;
  }

  /**
   * Returns the traits that need caution. A trait that was harmless shortly before is present at many crashes that it did not cause; most
   * of its requests would wait for each other.
   */
  private _getSuspected(traits: RequestTraits): string[] {
    const { getWeight, isKnownHarmless } = this._structure;
    return traits.filter((trait) => {
      const weight = getWeight(trait);
      return weight > 0 && (weight >= highRiskWeight || !isKnownHarmless(trait));
    });
  }

  private _mustWait(traits: RequestTraits): boolean {
    const { isUndecided, getWeight } = this._structure;
    const suspected = this._getSuspected(traits);
    if (suspected.length === 0) return false;
    if (this.isStarting(suspected)) return true;
    return suspected.some(
      (trait) => isUndecided(trait) || (getWeight(trait) < quarantineWeight && this._isSettling(trait)),
    );
  }

  private _isSettling(trait: string): boolean {
    return this._getNewestCrashAgeMs(trait) < sameEventMs;
  }

  private _isRecent(trait: string): boolean {
    return this._getNewestCrashAgeMs(trait) < maxHighRiskMs;
  }

  private _getNewestCrashAgeMs(trait: string): number {
    const { ledger, nowMs } = this._structure;
    const crash = ledger.evidence.getNewestCrash(trait);
    return crash === undefined ? Number.POSITIVE_INFINITY : nowMs() - crash.atMs;
  }
}
