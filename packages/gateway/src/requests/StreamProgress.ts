/** The progress of a streamed answer, and the latencies that its caller experienced. */
import { utils } from "@shedtiller/common";
import type { Route } from "../configuration/gatewayConfiguration.js";
import type { LogFields } from "../logs/LogOutput.js";

/** Collects the progress of a request over all of its attempts. */
export class StreamProgress {
  lastEventId: string | undefined;
  events = 0;
  /**
   * Whether the request passes the level of admission by urgency, since it comes back after a rejection or an endpoint may have begun to work
   * on it.
   */
  passesLevel = false;
  /** Whether an engine may have executed the request. */
  hasRun = false;
  /** Time from the arrival of the request to its first forwarded event. */
  firstEventMs: number | undefined;
  /** Longest time between two forwarded events. */
  longestPauseMs = 0;
  /** Time spent in the queue for capacity, over all attempts. */
  queuedMs = 0;
  /** Number of times that the stream was moved to another chain. */
  moves = 0;
  /** Addresses of engines that rejected the request. */
  readonly refusedBy = new Set<string>();
  /** The chain of the last attempt. */
  chain: readonly string[] = [];
  private _lastEventAtMs: number | undefined;

  constructor(lastEventId: string | undefined) {
    this.lastEventId = lastEventId;
  }

  /** Returns the fields of the stream for the log line of the request's end. */
  toLogFields(route: Route): LogFields {
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

  /** Records that complete events are forwarded now. */
  noteEvents(lastId: string | undefined, arrivedAtMs: number): void {
    const nowMs = utils.monotonicMs();
    this.events += 1;
    this.lastEventId = lastId ?? this.lastEventId;
    this.firstEventMs ??= nowMs - arrivedAtMs;
    this.longestPauseMs = Math.max(this.longestPauseMs, nowMs - (this._lastEventAtMs ?? nowMs));
    this._lastEventAtMs = nowMs;
  }
}
