/** Merging and rendering of the events of several processes. */
import { compareStamps } from "./HybridClock.js";
import type { TimelineEvent } from "./Timeline.js";

/** Merges the events of several processes in the order of their timestamps. */
export function mergeEvents(lists: readonly (readonly TimelineEvent[])[]): TimelineEvent[] {
  return lists.flat().sort((a, b) => compareStamps(a.stamp, b.stamp) || (a.instance < b.instance ? -1 : 1));
}

/** Renders an event as a line of text, with the time since `startMs`. */
export function renderEventText(event: TimelineEvent, startMs: number): string {
  const time = `+${event.stamp.wallMs - startMs} ms`.padStart(10);
  const parts = [time, event.instance.padEnd(12), event.kind.padEnd(22)];
  if (event.requestId !== undefined) parts.push(event.requestId);
  if (event.subject !== undefined) parts.push(event.subject);
  if (event.detail !== undefined) parts.push(event.detail);
  if (event.durationMs !== undefined) parts.push(`(${event.durationMs.toFixed(1)} ms)`);
  return parts.join("  ");
}

const microsecondsPerMs = 1000;

/** Renders events as JSON in the Trace Event format of trace viewers, with one row per instance and request. */
export function renderTraceEvents(events: readonly TimelineEvent[]): string {
  const traceEvents = events.map((event) => ({
    name: event.subject === undefined ? event.kind : `${event.kind} ${event.subject}`,
    cat: event.kind,
    ph: event.durationMs === undefined ? "i" : "X",
    ts: (event.stamp.wallMs - (event.durationMs ?? 0)) * microsecondsPerMs,
    dur: event.durationMs === undefined ? undefined : event.durationMs * microsecondsPerMs,
    s: event.durationMs === undefined ? "t" : undefined,
    pid: event.instance,
    tid: event.requestId ?? "instance",
    args: { detail: event.detail },
  }));
  return JSON.stringify({ traceEvents });
}
