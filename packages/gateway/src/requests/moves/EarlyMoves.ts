/** State of the early moves of streams that the monitor and operators share. */
import { utils } from "@shedtiller/common";
import type { GatewayMetrics } from "../../GatewayMetrics.js";
import { PressureSource, type PressureEntry } from "../../loadcontrol/PressureSource.js";
import { PauseStatistics } from "./PauseStatistics.js";

/** Why a stream was moved or resumed: its engine is lost, does not answer while the stream is silent, or is about to stop. */
export type MoveCause = "lost" | "silent" | "draining";

/** Operators see the moves of this time. */
const shownMs = 10_000;

/** The recent moves of one service by one cause. */
interface RecentMoves {
  readonly service: string;
  readonly cause: MoveCause;
  count: number;
  firstAtMs: number;
  lastAtMs: number;
}

/** Measures what silence is usual, and counts early moves. Exists only while the decision is switched on. */
export class EarlyMoves extends PressureSource {
  readonly pauses = new PauseStatistics();
  private readonly _recent = new Map<string, RecentMoves>();

  /**
   * @param drainMs - Time for which a draining engine serves; undefined if it is not known.
   * @param _nowMs - Monotonic clock, replaced in tests.
   */
  constructor(
    private readonly _metrics: Pick<GatewayMetrics, "earlyMoves" | "engineQuestions">,
    readonly drainMs: number | undefined,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {
    super();
  }

  /** Records that a stream is moved, or resumed if its first engine is lost. */
  noteMove(service: string, cause: MoveCause): void {
    this._metrics.earlyMoves.inc({ cause });
    const nowMs = this._nowMs();
    const key = `${service} ${cause}`;
    const known = this._recent.get(key);
    if (known === undefined || nowMs - known.firstAtMs > shownMs)
      this._recent.set(key, { service, cause, count: 1, firstAtMs: nowMs, lastAtMs: nowMs });
    else Object.assign(known, { count: known.count + 1, lastAtMs: nowMs });
  }

  /** Records a question to an engine and its result. */
  noteQuestion(result: "answered" | "unanswered" | "lost" | "unknown"): void {
    this._metrics.engineQuestions.inc({ result });
  }

  override getPressure(): readonly PressureEntry[] {
    const nowMs = this._nowMs();
    const recent = [...this._recent.values()].filter(({ lastAtMs }) => nowMs - lastAtMs <= shownMs);
    return recent.map(({ service, cause, count, lastAtMs }) => ({
      decision: "earlyMoves",
      service,
      subject: cause,
      value: count,
      reason: this._describe(service, count),
      ageMs: nowMs - lastAtMs,
    }));
  }

  private _describe(service: string, count: number): string {
    const usualMs = this.pauses.getUsualMs(service);
    const usual = usualMs === undefined ? "not measured yet" : `${Math.round(usualMs)} ms`;
    return `${count} streams moved or resumed within ${shownMs / utils.msPerSecond} s; the usual longest pause is ${usual}`;
  }
}
