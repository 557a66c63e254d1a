/** Members as a membership lists them, where only their names and zones matter. */
import type { Member, PeerIdentity } from "@shedtiller/membership";

/** Gives a linked peer as a member. */
export function toMember(peer: PeerIdentity): Member {
  const unknown = {
    address: "",
    isLeaving: false,
    lostSinceMs: undefined,
    unlinkedSinceMs: 0,
    heartbeat: {},
  };
  return { ...peer, ...unknown };
}
