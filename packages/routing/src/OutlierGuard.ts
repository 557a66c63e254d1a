/** Ejection of endpoints that fail repeatedly, with a cap so that a bad moment never ejects them all. */
import { utils } from "@shedtiller/common";

const failuresToEject = 3;
const baseEjectionMs = 2_000;
const longestEjectionMs = 30_000;
const largestEjectedShare = 0.5;

interface Standing {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
}

/** Counts failures in a row; the ejection doubles each time, up to a limit. */
export class OutlierGuard {
  private readonly _standings = new Map<string, Standing>();

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  recordSuccess(name: string): void {
    this._standings.delete(name);
  }

  recordFailure(name: string): void {
    const standing = this._standings.get(name) ?? { consecutiveFailures: 0, ejections: 0, ejectedUntilMs: 0 };
    standing.consecutiveFailures += 1;
    if (standing.consecutiveFailures >= failuresToEject) this._eject(standing);
    this._standings.set(name, standing);
  }

  isEjected(name: string): boolean {
    return (this._standings.get(name)?.ejectedUntilMs ?? 0) > this._nowMs();
  }

  /** Leaves out the ejected, unless that would leave out more than half. */
  withoutEjected<T>(items: T[], getName: (item: T) => string): T[] {
    if (this._standings.size === 0) return items;
    const kept = items.filter((item) => !this.isEjected(getName(item)));
    return kept.length < items.length * (1 - largestEjectedShare) ? items : kept;
  }

  private _eject(standing: Standing): void {
    const durationMs = Math.min(longestEjectionMs, baseEjectionMs * 2 ** standing.ejections);
    standing.ejections += 1;
    standing.consecutiveFailures = 0;
    standing.ejectedUntilMs = this._nowMs() + durationMs;
  }
}
