/** Timeline of all instances, gathered by the instance that receives the operator's request. */
import type { Membership } from "@shedtiller/membership";
import { mergeEvents, timelineEventSchema, type Timeline, type TimelineEvent } from "@shedtiller/timeline";
import * as zod from "zod";

const timelineTopic = "timeline";
const requestTimeoutMs = 2_000;
const maxEvents = 20_000;

const filterSchema = zod.object({ requestId: zod.string().optional(), sinceMs: zod.number().optional() });
const eventsSchema = zod.array(timelineEventSchema);

/** Selects events by request and by time. */
export type TimelineFilter = zod.infer<typeof filterSchema>;

/** Merged events of all instances that answered, and the names of the instances that did not answer. */
export interface FleetTimeline {
  readonly events: readonly TimelineEvent[];
  readonly gaps: readonly string[];
}

/** Serves this instance's events to its peers, and gathers theirs. */
export class TimelineGatherer {
  constructor(
    private readonly _timeline: Timeline,
    private readonly _membership: Membership,
  ) {
    _membership.onRequest(timelineTopic, (body) => {
      const filter = filterSchema.safeParse(body);
      return filter.success ? _timeline.getEvents(filter.data).slice(-maxEvents) : [];
    });
  }

  /** Requests the events of all instances and merges them. */
  async gather(filter: TimelineFilter): Promise<FleetTimeline> {
    const members = this._membership.getMembers();
    const lists = await Promise.all(members.map((member) => this._requestEvents(member.name, filter)));
    const gaps = members.filter((_member, index) => lists[index] === undefined).map((member) => member.name);
    const own = this._timeline.getEvents(filter);
    return {
      events: mergeEvents([own, ...lists.flatMap((list) => (list === undefined ? [] : [list]))]),
      gaps,
    };
  }

  private async _requestEvents(name: string, filter: TimelineFilter): Promise<TimelineEvent[] | undefined> {
    const reply = await this._membership.request(name, timelineTopic, filter, requestTimeoutMs);
    const events = reply.ok ? eventsSchema.safeParse(reply.val) : undefined;
    return events?.success === true ? events.data : undefined;
  }
}
