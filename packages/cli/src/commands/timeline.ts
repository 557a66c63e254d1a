/** `shedtiller timeline`: shows the merged events of all instances. */
import { utils } from "@shedtiller/common";
import {
  renderEventText,
  renderTraceEvents,
  timelineEventSchema,
  type TimelineEvent,
} from "@shedtiller/timeline";
import * as zod from "zod";
import {
  callOperator,
  exitCodes,
  failWithError,
  print,
  printError,
  type CommonOptions,
  type ExitCode,
} from "./CommandContext.js";

const timelineSchema = zod.object({ events: zod.array(timelineEventSchema), gaps: zod.array(zod.string()) });
const followIntervalMs = 500;

/** Options of the command. */
export interface TimelineOptions extends CommonOptions {
  /** Prints only events of this request. */
  readonly request?: string;
  /** Prints only events of the last `since` seconds. */
  readonly since?: number;
  /** Prints new events as they arrive, until interrupted. */
  readonly follow?: boolean;
  /** Prints Trace Event JSON for trace viewers. */
  readonly trace?: boolean;
}

/** Prints events once or continuously; returns exit code 1 if an instance was not reached. */
export async function runTimeline(options: TimelineOptions): Promise<ExitCode> {
  let sinceMs = options.since === undefined ? 0 : utils.wallMs() - options.since * utils.msPerSecond;
  let startMs: number | undefined;
  const seen = new Set<string>();
  for (;;) {
    const answer = await callOperator(options, "GET", getPath(options, sinceMs));
    if (answer.err) return failWithError(answer.val);
    const { events, gaps } = timelineSchema.parse(answer.val.body);
    const fresh = events.filter((event) => !seen.has(getEventId(event)));
    for (const event of fresh) seen.add(getEventId(event));
    startMs ??= fresh[0]?.stamp.wallMs;
    printEvents(fresh, startMs ?? 0, options);
    if (gaps.length > 0)
      printError(`Events are missing from instances that were not reached: ${gaps.join(", ")}.`);
    if (options.follow !== true) return gaps.length === 0 ? exitCodes.ok : exitCodes.negativeResult;
    const lastMs = events[events.length - 1]?.stamp.wallMs;
    // Events of other instances may arrive late; the next request overlaps by 1 s to include them.
    if (lastMs !== undefined) sinceMs = lastMs - utils.msPerSecond;
    await utils.sleep(followIntervalMs);
  }
}

function getPath(options: TimelineOptions, sinceMs: number): string {
  const query = new URLSearchParams({ sinceMs: String(Math.max(0, sinceMs)) });
  if (options.request !== undefined) query.set("request", options.request);
  return `/v1/timeline?${query.toString()}`;
}

function getEventId(event: TimelineEvent): string {
  return `${event.instance}|${event.stamp.wallMs}|${event.stamp.counter}`;
}

function printEvents(events: readonly TimelineEvent[], startMs: number, options: TimelineOptions): void {
  if (options.trace === true) return print(renderTraceEvents(events));
  for (const event of events)
    print(options.json === true ? JSON.stringify(event) : renderEventText(event, startMs));
}
