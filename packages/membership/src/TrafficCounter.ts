/** Counts of control messages and bytes, by topic. */

/** Traffic of one topic in one direction. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** Sums of what was sent and received. */
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

  /** Traffic by topic. */
  getByTopic(direction: "sent" | "received"): ReadonlyMap<string, Readonly<Traffic>> {
    return direction === "sent" ? this._sent : this._received;
  }
}
