/**
 * How long streams of each service usually are silent, as this instance sees it: work changes, and a silence that means a lost engine on
 * fast engines is an ordinary pause on slow ones. Bounded memory, no timer; a process that has just started has the route's allowances.
 */
import { utils } from "@shedtiller/common";
import type { Route } from "../configuration/gatewayConfiguration.js";

/** Pauses longer than all but one in a hundred: a question more costs a few messages, a silence unnoticed costs the answer's time. */
const pauseShare = 0.99;
/** A stream has some seventy pauses and one first event; a window holds the last second of a busy instance. */
const pausesKept = 256;
const refreshEvery = 16;
const firstEventShare = 0.95;

/** A silence is unusual from this many times the usual longest one on. */
const unusualFactor = 1.5;
const unusualFirstEventFactor = 2;

/** Without a measurement a silence of this share of the allowed pause is unusual. */
const unmeasuredPauseShare = 0.5;
/** However long pauses have become, a silence of this many allowed pauses is looked into. */
const longestPauseFactor = 1.5;
/** The same for the time to the first event, which has to leave time for another chain. */
const longestFirstEventShare = 0.9;
/** Allowed pause of routes that state none: the shorter one of the sheets seen. */
const unstatedPauseMs = 200;

interface ServiceTimes {
  readonly pauses: utils.SampleWindow;
  readonly firstEvents: utils.SampleWindow;
}

/** One for an instance. */
export class StreamTimes {
  private readonly _services = new Map<string, ServiceTimes>();

  /** Notes the time between two signs of a stream. */
  notePause(service: string, pauseMs: number): void {
    this._get(service).pauses.add(pauseMs);
  }

  /** Notes the time from the sending of a run to its first event. */
  noteFirstEvent(service: string, firstEventMs: number): void {
    this._get(service).firstEvents.add(firstEventMs);
  }

  /** The longest silence between events that is usual; undefined before it was measured. */
  getUsualPauseMs(service: string): number | undefined {
    return this._get(service).pauses.quantile;
  }

  /**
   * From which silence between events on a stream is looked into.
   * @param ownPauseMs - The longest pause of the stream itself of late: its chain may be slower than others.
   */
  getUnusualPauseMs(service: string, route: Route, ownPauseMs: number): number {
    const allowedMs = route.targetPauseMs > 0 ? route.targetPauseMs : unstatedPauseMs;
    const usualMs = this.getUsualPauseMs(service);
    if (usualMs === undefined) return allowedMs * unmeasuredPauseShare;
    return Math.min(Math.max(usualMs, ownPauseMs) * unusualFactor, allowedMs * longestPauseFactor);
  }

  /** From which silence on a stream without events is looked into. */
  getUnusualFirstEventMs(service: string, route: Route): number {
    const longestMs = route.targetLatencyMs * longestFirstEventShare;
    const usualMs = this._get(service).firstEvents.quantile;
    return usualMs === undefined ? longestMs : Math.min(longestMs, usualMs * unusualFirstEventFactor);
  }

  private _get(service: string): ServiceTimes {
    const known = this._services.get(service);
    if (known !== undefined) return known;
    const times = {
      pauses: new utils.SampleWindow({ share: pauseShare, length: pausesKept, refreshEvery }),
      firstEvents: new utils.SampleWindow({ share: firstEventShare }),
    };
    this._services.set(service, times);
    return times;
  }
}
