/** Peer network in simulated time. A message takes time for encoding, on both links and for decoding. */
import { errors, results } from "@shedtiller/common";
import {
  pickContacts,
  type Member,
  type NoticeHandler,
  type PeerError,
  type PeerIdentity,
  type RequestHandler,
} from "@shedtiller/membership";
import type { NetworkMembership } from "../peers/PeerNetwork.js";
import { toMember } from "../peers/toMember.js";
import type { SimulatedClock } from "./SimulatedClock.js";
import { transfer, type SimulatedLink } from "./SimulatedLink.js";
import { getSizeBytes } from "./SimulatedStore.js";

/** An instance with its links and its processor. */
export interface FleetNode {
  readonly identity: PeerIdentity;
  readonly inLink: SimulatedLink;
  readonly outLink: SimulatedLink;
  readonly encode: (sizeBytes: number) => Promise<void>;
  readonly decode: (sizeBytes: number) => Promise<void>;
}

interface JoinedNode extends FleetNode {
  readonly notices: Map<string, NoticeHandler>;
  readonly requests: Map<string, RequestHandler>;
}

const delayMs = 1;

/** Links each instance to all instances of its zone and to a few of each other zone. */
export class FleetNetwork {
  private readonly _joined = new Map<string, JoinedNode>();
  /** The last message of each connection, whose messages arrive in order. */
  private readonly _lastMessages = new Map<string, Promise<void>>();
  /** Cache of the links of each instance, cleared when an instance joins or leaves. */
  private readonly _linked = new Map<string, Member[]>();
  private readonly _contacts = new Map<string, Set<string>>();
  /** Zones that are partitioned from the others. */
  readonly partitionedZones = new Set<string>();

  constructor(private readonly _clock: SimulatedClock) {}

  join(node: FleetNode): NetworkMembership {
    const self = node.identity;
    const joined: JoinedNode = { ...node, notices: new Map(), requests: new Map() };
    this._joined.set(self.name, joined);
    this._clearLinks();
    return {
      self,
      getZoneRoleCandidates: () => {
        const inZone = this._getLinked(self).filter(
          (peer) => peer.availabilityZone === self.availabilityZone,
        );
        return [...inZone.map((peer) => peer.name), self.name];
      },
      getLinked: () => this._getLinked(self),
      onLinked: () => undefined,
      onNotice: (topic, handler) => void joined.notices.set(topic, handler),
      onRequest: (topic, handler) => void joined.requests.set(topic, handler),
      notifyAll: (topic, body, isRecipient = () => true) => {
        for (const peer of this._getLinked(self))
          if (isRecipient(peer)) void this._notify(joined, peer, topic, body);
      },
      request: (name, topic, body, timeoutMs) => this._request(joined, name, topic, body, timeoutMs),
    };
  }

  /** Removes an instance and its links. */
  leave(name: string): void {
    this._joined.delete(name);
    this._clearLinks();
  }

  /** Returns the linked instances. A link carries messages both ways, whichever side opened it. */
  private _getLinked(self: PeerIdentity): Member[] {
    const known = this._linked.get(self.name) ?? this._findLinked(self);
    this._linked.set(self.name, known);
    const { availabilityZone } = self;
    return known.filter(
      (peer) => peer.availabilityZone === availabilityZone || !this._isPartitioned(self, peer),
    );
  }

  private _findLinked(self: PeerIdentity): Member[] {
    const others = [...this._joined.values()]
      .map((node) => node.identity)
      .filter(({ name }) => name !== self.name);
    const contacts = this._getContacts(self);
    const linked = others.filter(
      (peer) =>
        peer.availabilityZone === self.availabilityZone ||
        contacts.has(peer.name) ||
        this._getContacts(peer).has(self.name),
    );
    return linked.map(toMember);
  }

  private _getContacts(self: PeerIdentity): Set<string> {
    const known = this._contacts.get(self.name);
    if (known !== undefined) return known;
    const others = [...this._joined.values()].map((node) => node.identity);
    const elsewhere = others.filter((peer) => peer.availabilityZone !== self.availabilityZone);
    const contacts = pickContacts(self.name, elsewhere.map(toMember));
    this._contacts.set(self.name, contacts);
    return contacts;
  }

  private _isPartitioned(one: PeerIdentity, other: PeerIdentity): boolean {
    return (
      this.partitionedZones.has(one.availabilityZone) || this.partitionedZones.has(other.availabilityZone)
    );
  }

  private _clearLinks(): void {
    this._linked.clear();
    this._contacts.clear();
  }

  private async _notify(from: JoinedNode, to: PeerIdentity, topic: string, body: unknown): Promise<void> {
    const target = this._joined.get(to.name);
    if (target === undefined) return;
    await this._send(from, target, body);
    if (this._isJoined(target)) target.notices.get(topic)?.(body, from.identity);
  }

  private async _request(
    from: JoinedNode,
    name: string,
    topic: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<results.Result<unknown, PeerError>> {
    const target = this._joined.get(name);
    const isLinked = this._getLinked(from.identity).some((peer) => peer.name === name);
    if (target === undefined || !isLinked) return results.Err(new errors.ConnectionLostError(name));
    const timeout = this._clock
      .sleep(timeoutMs)
      .then(() => results.Err(new errors.DeadlineError(`${topic} at ${name}`, timeoutMs)));
    return Promise.race([this._exchange(from, target, topic, body), timeout]);
  }

  private async _exchange(
    from: JoinedNode,
    target: JoinedNode,
    topic: string,
    body: unknown,
  ): Promise<results.Result<unknown, PeerError>> {
    await this._send(from, target, body);
    const answer: unknown = await target.requests.get(topic)?.(body, from.identity);
    // The answer is sent even after the request has timed out.
    await this._send(target, from, answer);
    return results.Ok(answer);
  }

  private async _send(from: JoinedNode, to: JoinedNode, body: unknown): Promise<void> {
    const sizeBytes = getSizeBytes(body);
    await from.encode(sizeBytes);
    const pair = `${from.identity.name} ${to.identity.name}`;
    const sent = (this._lastMessages.get(pair) ?? Promise.resolve()).then(async () => {
      await this._clock.sleep(delayMs);
      await transfer(from.outLink, to.inLink, sizeBytes, () => !this._isJoined(from) || !this._isJoined(to));
    });
    this._lastMessages.set(pair, sent);
    await sent;
    await to.decode(sizeBytes);
  }

  private _isJoined(node: JoinedNode): boolean {
    return this._joined.get(node.identity.name) === node;
  }
}
