import { utils } from "@shedtiller/common";

/** Interval at which callers look for subjects that are due. */
export const checkTickMs = 200;
/** Time between two checks of a subject, doubled after each one up to the maximum. */
export const firstCheckIntervalMs = 400;
const maxIntervalMs = 1_600;
/** Maximum number of checks at a time, so that no storm of connections follows when all paths return at once. */
const maxRunning = 8;

interface CheckState {
  intervalMs: number;
  dueAtMs: number;
}

/** Checks subjects repeatedly at growing intervals, a few at a time, for as long as the caller names them. */
export class RepeatedChecks<K> {
  private readonly _states = new Map<K, CheckState>();
  private _running = 0;

  /**
   * @param _check - Checks one subject.
   * @param _nowMs - Monotonic clock, replaced in tests.
   */
  constructor(
    private readonly _check: (subject: K) => Promise<void>,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Makes all subjects due that are not being checked now. */
  makeDue(): void {
    const nowMs = this._nowMs();
    for (const state of this._states.values())
      if (Number.isFinite(state.dueAtMs)) state.dueAtMs = Math.min(state.dueAtMs, nowMs);
  }

  /** Starts the checks of those of `subjects` that are due, the longest due first; resolves once they are complete. */
  async checkDue(subjects: readonly K[]): Promise<void> {
    const nowMs = this._nowMs();
    for (const known of this._states.keys()) if (!subjects.includes(known)) this._states.delete(known);
    const due = subjects.filter((subject) => nowMs >= this._getState(subject).dueAtMs);
    due.sort((a, b) => this._getState(a).dueAtMs - this._getState(b).dueAtMs);
    await Promise.all(due.slice(0, maxRunning - this._running).map((subject) => this._run(subject)));
  }

  private async _run(subject: K): Promise<void> {
    const state = this._getState(subject);
    state.dueAtMs = Number.POSITIVE_INFINITY;
    this._running += 1;
    await this._check(subject);
    this._running -= 1;
    state.intervalMs = Math.min(maxIntervalMs, 2 * state.intervalMs);
    state.dueAtMs = this._nowMs() + state.intervalMs;
  }

  private _getState(subject: K): CheckState {
    const known = this._states.get(subject);
    if (known !== undefined) return known;
    const state = { intervalMs: firstCheckIntervalMs, dueAtMs: this._nowMs() + firstCheckIntervalMs };
    this._states.set(subject, state);
    return state;
  }
}
