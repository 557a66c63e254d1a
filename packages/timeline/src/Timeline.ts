/** One process's events in a bounded ring. */
import * as zod from "zod";
import { HybridClock, hybridStampSchema } from "./HybridClock.js";

/** What can happen. The names are part of the operators' interface. */
export const eventKinds = [
  "admitted",
  "queued",
  "chosen",
  "step",
  "stage-lost",
  "rebuilt",
  "answered",
  "refused",
  "cancelled",
  "claimed",
  "claim-lost",
  "configuration-in-force",
  "lease-taken",
  "lease-lapsed",
  "order-sent",
  "member-seen",
  "member-lost",
  "endpoint-leaving",
  "drain-begun",
  "drain-ended",
] as const;

export const timelineEventSchema = zod.object({
  stamp: hybridStampSchema,
  instance: zod.string(),
  kind: zod.enum(eventKinds),
  requestId: zod.string().optional(),
  subject: zod.string().optional(),
  detail: zod.string().optional(),
  durationMs: zod.number().optional(),
});

export type EventKind = (typeof eventKinds)[number];
export type TimelineEvent = zod.infer<typeof timelineEventSchema>;

/** What an event tells beside its kind. */
export interface EventDetails {
  readonly requestId?: string;
  /** The endpoint, instance or object that the event is about. */
  readonly subject?: string;
  readonly detail?: string;
  /** How long the thing took that the event ends. */
  readonly durationMs?: number;
}

/** Records events; the oldest are forgotten beyond the capacity. */
export class Timeline {
  readonly clock = new HybridClock();
  private readonly _ring: TimelineEvent[] = [];
  private _nextIndex = 0;

  /**
   * @param instance - Name of the instance that records here.
   * @param capacity - How many events are kept at the most.
   */
  constructor(
    readonly instance: string,
    readonly capacity = 20_000,
  ) {}

  /** Records an event. */
  add(kind: EventKind, structure: EventDetails = {}): void {
    this._ring[this._nextIndex % this.capacity] = {
      stamp: this.clock.next(),
      instance: this.instance,
      kind,
      ...structure,
    };
    this._nextIndex += 1;
  }

  /** Gives the kept events, oldest first, of one request where `requestId` is given. */
  getEvents(filter: { requestId?: string; sinceMs?: number } = {}): TimelineEvent[] {
    const start = this._ring.length < this.capacity ? 0 : this._nextIndex % this.capacity;
    const ordered = [...this._ring.slice(start), ...this._ring.slice(0, start)];
    return ordered.filter((event) => isWanted(event, filter));
  }
}

function isWanted(event: TimelineEvent, filter: { requestId?: string; sinceMs?: number }): boolean {
  if (filter.requestId !== undefined && event.requestId !== filter.requestId) return false;
  return event.stamp.wallMs >= (filter.sinceMs ?? 0);
}
