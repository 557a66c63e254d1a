/** Limits the successors of streams that fall silent together. */
import type { StreamAttempt } from "./StreamAttempt.js";

/** A run with an event within this time is not silent; pauses between events are usually shorter than 100 ms. */
const activeMs = 300;
/** Time within which a successor should have produced an event; most first events arrive within 300 ms. */
const trialMs = 450;

/**
 * Decides whether a run in doubt may have a successor now. If none of the streams of this instance has had an event lately, the cause is
 * probably no single engine but what they share: this instance, its links, or a pause of all engines. Successors would then spend the retry
 * budget in vain, so only one of them starts at a time, and the others follow once it has produced an event.
 */
export class SuccessorGate {
  private _trialAtMs = Number.NEGATIVE_INFINITY;
  /** Monotonic time of the last event of a run that has ended. */
  private _endedEventAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly _attempts: ReadonlySet<Pick<StreamAttempt, "lastEventAtMs">>) {}

  /** Returns whether a successor may start. */
  isOpen(nowMs: number): boolean {
    return nowMs - this._trialAtMs >= trialMs || this._hasActiveRun(nowMs);
  }

  /** Records that a successor starts. */
  noteStart(nowMs: number): void {
    if (!this._hasActiveRun(nowMs)) this._trialAtMs = nowMs;
  }

  /** Records that a run is over. */
  noteEnd({ lastEventAtMs }: Pick<StreamAttempt, "lastEventAtMs">): void {
    this._endedEventAtMs = Math.max(this._endedEventAtMs, lastEventAtMs);
  }

  private _hasActiveRun(nowMs: number): boolean {
    if (nowMs - this._endedEventAtMs < activeMs) return true;
    return [...this._attempts].some(({ lastEventAtMs }) => nowMs - lastEventAtMs < activeMs);
  }
}
