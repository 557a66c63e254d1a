/** Memberships without sockets: notices arrive at once, and tests cut instances off. */
import type { Membership, NoticeHandler, PeerIdentity } from "@shedtiller/membership";

type NetworkMember = Pick<Membership, "self" | "getDutyCandidates" | "notifyAll" | "onNotice">;

/** The instances of a test, and the links between them. */
export class PeerNetwork {
  /** Notices that were sent, by topic. */
  readonly sent = new Map<string, number>();
  private readonly _handlers = new Map<string, Map<string, NoticeHandler>>();
  private readonly _peers: PeerIdentity[] = [];
  private readonly _silent = new Set<string>();
  private readonly _gone = new Set<string>();

  /** Adds an instance that is linked to all others. */
  join(self: PeerIdentity): NetworkMember {
    const handlers = new Map<string, NoticeHandler>();
    this._peers.push(self);
    this._handlers.set(self.name, handlers);
    const getOthers = (): PeerIdentity[] =>
      this._peers.filter((peer) => peer.name !== self.name && !this._gone.has(peer.name));
    return {
      self,
      getDutyCandidates: () => {
        const inZone = getOthers().filter((peer) => peer.availabilityZone === self.availabilityZone);
        return [...inZone.map((peer) => peer.name), self.name];
      },
      onNotice: (topic, handler) => void handlers.set(topic, handler),
      notifyAll: (topic, body, wants = () => true) => {
        for (const peer of getOthers()) {
          const member = {
            ...peer,
            address: "",
            isLeaving: false,
            lostSinceMs: undefined,
            unlinkedSinceMs: 0,
            heartbeat: {},
          };
          if (wants(member)) this._deliver(self, peer.name, topic, body);
        }
      },
    };
  }

  /** From now on the instance neither sends nor gets anything, though its links seem to stand. */
  silence(name: string): void {
    this._silent.add(name);
  }

  /** Ends a silence. */
  restore(name: string): void {
    this._silent.delete(name);
  }

  /** The instance is gone, and its links with it. */
  remove(name: string): void {
    this._gone.add(name);
  }

  private _deliver(from: PeerIdentity, to: string, topic: string, body: unknown): void {
    if (this._silent.has(from.name) || this._silent.has(to)) return;
    this.sent.set(topic, (this.sent.get(topic) ?? 0) + 1);
    this._handlers.get(to)?.get(topic)?.(body, from);
  }
}
