/** Counters of control messages and bytes by topic. */

/** Number and total size of the messages of one topic in one direction. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** Counts the control messages and bytes that an instance sends and receives, by topic. */
export class TrafficCounter {
  private readonly _sent = new Map<string, Traffic>();
  private readonly _received = new Map<string, Traffic>();

  add(direction: "sent" | "received", topic: string, sizeBytes: number): void {
    const byTopic = direction === "sent" ? this._sent : this._received;
    const traffic = byTopic.get(topic) ?? { messages: 0, bytes: 0 };
    traffic.messages += 1;
    traffic.bytes += sizeBytes;
    byTopic.set(topic, traffic);
  }

  /** Returns the traffic of one direction by topic. */
  getByTopic(direction: "sent" | "received"): ReadonlyMap<string, Readonly<Traffic>> {
    return direction === "sent" ? this._sent : this._received;
  }
}
