/** Notes a message of a peer that does not have the form of its topic. */
import type { PeerIdentity } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";

/** The message is dropped, since a peer of another version may send it; the log line tells from whom it came. */
export function logInvalidPeerMessage(log: DecisionLog, topic: string, from: PeerIdentity): void {
  log.warn("peer-message-invalid", { topic, peer: from.name });
}
