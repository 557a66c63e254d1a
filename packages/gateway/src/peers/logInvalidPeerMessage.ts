import type { PeerIdentity } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";

/** Logs that a peer's message does not match the schema of its topic. The message is dropped, since the peer may run another version. */
export function logInvalidPeerMessage(log: DecisionLog, topic: string, from: PeerIdentity): void {
  log.warn("peer-message-invalid", { topic, peer: from.name });
}
