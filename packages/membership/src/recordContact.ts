/** Recording of the contact with members, which the time line shows. */
import { utils } from "@shedtiller/common";
import type { Timeline } from "@shedtiller/timeline";
import type { Member } from "./Member.js";

/** Records that a member has a link that is open and not silent. */
export function recordContact(member: Member, timeline: Timeline): void {
  if (member.lostSinceMs !== undefined) timeline.add("member-seen", { subject: member.name });
  member.lostSinceMs = undefined;
}

/** Records that the link to a member has been closed or has fallen silent. */
export function recordContactLost(member: Member, timeline: Timeline): void {
  member.lostSinceMs = utils.wallMs();
  member.lostSinceMonotonicMs = utils.monotonicMs();
  timeline.add("member-lost", { subject: member.name });
}
