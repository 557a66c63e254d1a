import type { Member, PeerIdentity } from "@shedtiller/membership";

/** Converts a linked peer to a member, for tests in which only its name and zone matter. */
export function toMember(peer: PeerIdentity): Member {
  const unknown = {
    address: "",
    isLeaving: false,
    lostSinceMs: undefined,
    lostSinceMonotonicMs: 0,
    heartbeat: {},
  };
  return { ...peer, ...unknown };
}
