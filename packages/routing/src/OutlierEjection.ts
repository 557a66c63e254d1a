import { utils } from "@shedtiller/common";

const failuresToEject = 3;
const baseEjectionMs = 2_000;
const maxEjectionMs = 30_000;
const maxEjectedShare = 0.5;

interface EjectionState {
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
}

/**
 * Ejects endpoints after consecutive failures. The duration doubles with each ejection up to a maximum, and the share of ejected endpoints
 * is capped so that a temporary fault never ejects all of them.
 */
export class OutlierEjection {
  private readonly _states = new Map<string, EjectionState>();

  /** @param nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  recordSuccess(name: string): void {
    this._states.delete(name);
  }

  recordFailure(name: string): void {
    const state = this._states.get(name) ?? { consecutiveFailures: 0, ejections: 0, ejectedUntilMs: 0 };
    state.consecutiveFailures += 1;
    if (state.consecutiveFailures >= failuresToEject) this._eject(state);
    this._states.set(name, state);
  }

  isEjected(name: string): boolean {
    return (this._states.get(name)?.ejectedUntilMs ?? 0) > this._nowMs();
  }

  /** Returns the items without those of ejected endpoints, or all items if more than half of them would be removed. */
  withoutEjected<T>(items: T[], getName: (item: T) => string): T[] {
    if (this._states.size === 0) return items;
    const remaining = items.filter((item) => !this.isEjected(getName(item)));
    return remaining.length < items.length * (1 - maxEjectedShare) ? items : remaining;
  }

  private _eject(state: EjectionState): void {
    const durationMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** state.ejections);
    state.ejections += 1;
    state.consecutiveFailures = 0;
    state.ejectedUntilMs = this._nowMs() + durationMs;
  }
}
