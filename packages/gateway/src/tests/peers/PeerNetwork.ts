/** Memberships without sockets: notices arrive at once, and tests can drop the notices of an instance or remove the instance. */
import { errors, results } from "@shedtiller/common";
import type {
  LinkedListener,
  Membership,
  NoticeHandler,
  PeerIdentity,
  RequestHandler,
} from "@shedtiller/membership";
import { toMember } from "./toMember.js";

/** The part of a membership that the simulated networks of tests provide. */
export type NetworkMembership = Pick<
  Membership,
  | "self"
  | "getZoneRoleCandidates"
  | "getLinked"
  | "notifyAll"
  | "onLinked"
  | "onNotice"
  | "onRequest"
  | "request"
>;

/** Connects the instances of a test in memory. */
export class PeerNetwork {
  /** Number of notices and requests that were sent, by topic. */
  readonly sent = new Map<string, number>();
  private readonly _handlers = new Map<string, Map<string, NoticeHandler>>();
  private readonly _requestHandlers = new Map<string, Map<string, RequestHandler>>();
  private readonly _linkedListeners = new Map<string, LinkedListener>();
  private readonly _peers: PeerIdentity[] = [];
  private readonly _silent = new Set<string>();
  private readonly _removed = new Set<string>();
  private readonly _cutZones = new Set<string>();
  private readonly _held = new Map<string, (() => void)[]>();

  /** Adds an instance that is linked to all others. */
  join(self: PeerIdentity): NetworkMembership {
    const handlers = new Map<string, NoticeHandler>();
    this._peers.push(self);
    this._handlers.set(self.name, handlers);
    const requestHandlers = new Map<string, RequestHandler>();
    this._requestHandlers.set(self.name, requestHandlers);
    const getOthers = (): PeerIdentity[] =>
      this._peers.filter((peer) => peer.name !== self.name && !this._removed.has(peer.name));
    return {
      self,
      getZoneRoleCandidates: () => {
        const inZone = getOthers().filter((peer) => peer.availabilityZone === self.availabilityZone);
        return [...inZone.map((peer) => peer.name), self.name];
      },
      getLinked: () => getOthers().map(toMember),
      onLinked: (listener) => void this._linkedListeners.set(self.name, listener),
      onNotice: (topic, handler) => void handlers.set(topic, handler),
      onRequest: (topic, handler) => void requestHandlers.set(topic, handler),
      request: async (name, topic, body) => {
        this.sent.set(topic, (this.sent.get(topic) ?? 0) + 1);
        const handler = this._requestHandlers.get(name)?.get(topic);
        if (handler === undefined) return results.Err(new errors.ConnectionLostError(name));
        return results.Ok(await handler(body, self));
      },
      notifyAll: (topic, body, isRecipient = () => true) => {
        for (const peer of getOthers()) {
          const member = toMember(peer);
          if (!this._isCut(self, peer) && isRecipient(member)) this._deliver(self, peer.name, topic, body);
        }
      },
    };
  }

  /** Tells an instance that all others are linked again. */
  relink(name: string): void {
    for (const peer of this._peers) if (peer.name !== name) this._linkedListeners.get(name)?.(peer, true);
  }

  /** Drops all notices to and from the instance from now on, while its links stay up. */
  silence(name: string): void {
    this._silent.add(name);
  }

  /** Delivers the notices to and from the instance again. */
  restore(name: string): void {
    this._silent.delete(name);
  }

  /** Holds up the notices to the instance from now on, as a cut does; each of `held` delivers one of them. */
  hold(name: string, held: (() => void)[]): void {
    this._held.set(name, held);
  }

  /** Delivers the notices to the instance at once again. */
  release(name: string): void {
    this._held.delete(name);
  }

  /** Drops all notices between the zone and all others from now on. */
  cutZone(availabilityZone: string): void {
    this._cutZones.add(availabilityZone);
  }

  /** Removes the instance and its links. */
  remove(name: string): void {
    this._removed.add(name);
  }

  private _isCut(a: PeerIdentity, b: PeerIdentity): boolean {
    if (a.availabilityZone === b.availabilityZone) return false;
    return this._cutZones.has(a.availabilityZone) || this._cutZones.has(b.availabilityZone);
  }

  private _deliver(from: PeerIdentity, to: string, topic: string, body: unknown): void {
    if (this._silent.has(from.name) || this._silent.has(to)) return;
    this.sent.set(topic, (this.sent.get(topic) ?? 0) + 1);
    const deliver = (): void => this._handlers.get(to)?.get(topic)?.(body, from);
    const held = this._held.get(to);
    if (held === undefined) deliver();
    else held.push(deliver);
  }
}
