/** How far the answer of a streamed request is, and how evenly it came. */
import { utils } from "@shedtiller/common";
import type { Route } from "../configuration/gatewayConfiguration.js";
import type { LogFields } from "../logs/DecisionLog.js";

/** Counts over all runs of the request. */
export class StreamProgress {
  lastEventId: string | undefined;
  events = 0;
  /** From the request's arrival to the first event that was passed on. */
  firstEventMs: number | undefined;
  /** Longest time between two events that were passed on. */
  longestPauseMs = 0;
  /** Time spent waiting for room, over all runs. */
  queuedMs = 0;
  /** How often it was moved to another chain. */
  moves = 0;
  /** Addresses of engines that refused it. */
  readonly refusedBy = new Set<string>();
  /** The chain of the last run. */
  chain: readonly string[] = [];
  private _lastEventAtMs: number | undefined;

  constructor(lastEventId: string | undefined) {
    this.lastEventId = lastEventId;
  }

  /** The line that ends the request, as far as its stream goes. */
  describe(route: Route): LogFields {
    return {
      queuedMs: Math.round(this.queuedMs),
      moves: this.moves,
      isFirstEventLate: this.firstEventMs !== undefined && this.firstEventMs > route.targetLatencyMs,
      isPauseLate: this.longestPauseMs > route.targetPauseMs,
      firstEventMs: this.firstEventMs === undefined ? undefined : Math.round(this.firstEventMs),
      longestPauseMs: Math.round(this.longestPauseMs),
      events: this.events,
      chain: this.chain,
    };
  }

  /** Notes events that are passed on now. */
  noteEvents(lastId: string | undefined, arrivedAtMs: number): void {
    const nowMs = utils.monotonicMs();
    this.events += 1;
    this.lastEventId = lastId ?? this.lastEventId;
    this.firstEventMs ??= nowMs - arrivedAtMs;
    this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - (this._lastEventAtMs ?? nowMs));
    this._lastEventAtMs = nowMs;
  }
}
