/**
 * Broadcast of updates to all instances. An update is sent to the own zone and to a few relays in each other zone. A relay forwards the
 * entries that were new to it to its own zone, so that a broadcast takes about as many messages as there are instances. When a link is
 * established, the full state is sent over the link, which updates instances that were partitioned, have just started or were added.
 */
import { utils } from "@shedtiller/common";
import type * as zod from "zod";
import type { Member } from "./Member.js";
import type { Membership } from "./Membership.js";
import type { PeerIdentity } from "./PeerLink.js";

/** Number of relays in each other zone. More than one, since a relay may have just failed. */
const relaysPerZone = 2;

/** Dependencies of {@link PeerBroadcast}. */
export interface PeerBroadcastStructure<T> {
  readonly membership: Pick<Membership, "self" | "getLinked" | "notifyAll" | "onLinked" | "onNotice">;
  readonly topic: string;
  readonly schema: zod.ZodType<T>;
  /** Called for a message that does not match the schema. The message is dropped: a peer of another version may have sent it. */
  readonly onInvalid: (topic: string, from: PeerIdentity) => void;
  /** Applies an update from a peer; returns the entries that were new to this instance, or undefined if none were. */
  readonly applyUpdate: (update: T, from: PeerIdentity) => T | undefined;
  /** Returns the full local state; undefined if it is empty. */
  readonly getFullState: () => T | undefined;
  /** Returns random numbers from 0 to 1; replaced in tests. */
  readonly random?: (() => number) | undefined;
}

/** Broadcasts the updates of one topic to all instances, and forwards updates from other zones to the own zone. */
export class PeerBroadcast<T> {
  constructor(private readonly _structure: PeerBroadcastStructure<T>) {
    const { membership, topic } = _structure;
    membership.onNotice(topic, (body, from) => this._receive(body, from));
    membership.onLinked((peer) => this._sendFullState(peer));
  }

  /** Broadcasts an update that originates at this instance. */
  broadcast(update: T): void {
    const relays = this._sampleRelays();
    this._notify(update, (member) => this._isOwnZone(member) || relays.has(member.name));
  }

  private _sendFullState(peer: PeerIdentity): void {
    const state = this._structure.getFullState();
    if (state !== undefined) this._notify(state, (member) => member.name === peer.name);
  }

  private _receive(body: unknown, from: PeerIdentity): void {
    const { schema, topic, onInvalid, applyUpdate } = this._structure;
    const parsed = schema.safeParse(body);
    if (!parsed.success) return onInvalid(topic, from);
    const unseenUpdate = applyUpdate(parsed.data, from);
    if (unseenUpdate === undefined || this._isOwnZone(from)) return;
    this._notify(unseenUpdate, (member) => this._isOwnZone(member));
  }

  private _sampleRelays(): Set<string> {
    const { membership, random = Math.random } = this._structure;
    const zones = utils.groupBy(membership.getLinked(), (member) => member.availabilityZone);
    const relays = [...zones.values()].flatMap((members) => utils.sample(members, relaysPerZone, random));
    return new Set(relays.map((member) => member.name));
  }

  private _isOwnZone({ availabilityZone }: PeerIdentity): boolean {
    return availabilityZone === this._structure.membership.self.availabilityZone;
  }

  private _notify(update: T, isRecipient: (member: Member) => boolean): void {
    this._structure.membership.notifyAll(this._structure.topic, update, isRecipient);
  }
}
