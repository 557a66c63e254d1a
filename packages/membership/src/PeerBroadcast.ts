/**
 * News that comes to all instances. It goes to the own zone and to a few of each other one, and those pass on what was news to them, so that
 * it costs about as many messages as there are instances. A link that comes to stand brings all that is known, which serves whoever was cut
 * off, has just started or was added.
 */
import { utils } from "@shedtiller/common";
import type * as zod from "zod";
import type { Member } from "./Member.js";
import type { Membership } from "./Membership.js";
import type { PeerIdentity } from "./PeerLink.js";

/** Instances of each other zone that are told first: one of them may have just died. */
const toldPerZone = 2;

/** What an exchange works with. */
export interface PeerBroadcastStructure<T> {
  readonly membership: Pick<Membership, "self" | "getLinked" | "notifyAll" | "onLinked" | "onNotice">;
  readonly topic: string;
  readonly schema: zod.ZodType<T>;
  /** Told of a message that does not have its form; it is dropped, since a peer of another version may send it. */
  readonly onInvalid: (topic: string, from: PeerIdentity) => void;
  /** Takes what a peer told; gives what of it was news, or undefined where nothing was. */
  readonly applyUpdate: (told: T) => T | undefined;
  /** All that is known here; undefined where nothing is. */
  readonly getFullState: () => T | undefined;
  /** From 0 to 1, replaced in tests. */
  readonly random?: (() => number) | undefined;
}

/** One for each kind of news at an instance. */
export class PeerBroadcast<T> {
  constructor(private readonly _structure: PeerBroadcastStructure<T>) {
    const { membership, topic } = _structure;
    membership.onNotice(topic, (body, from) => this._take(body, from));
    membership.onLinked((peer) => this._greet(peer));
  }

  /** Tells what was found here. */
  broadcast(news: T): void {
    const first = this._getFirstTold();
    this._notify(news, (member) => this._isOwnZone(member) || first.has(member.name));
  }

  private _greet(peer: PeerIdentity): void {
    const all = this._structure.getFullState();
    if (all !== undefined) this._notify(all, (member) => member.name === peer.name);
  }

  private _take(body: unknown, from: PeerIdentity): void {
    const { schema, topic, onInvalid, applyUpdate: take } = this._structure;
    const told = schema.safeParse(body);
    if (!told.success) return onInvalid(topic, from);
    const news = take(told.data);
    if (news === undefined || this._isOwnZone(from)) return;
    this._notify(news, (member) => this._isOwnZone(member));
  }

  private _getFirstTold(): Set<string> {
    const { membership, random = Math.random } = this._structure;
    const zones = utils.groupBy(membership.getLinked(), (member) => member.availabilityZone);
    const told = [...zones.values()].flatMap((members) => utils.sample(members, toldPerZone, random));
    return new Set(told.map((member) => member.name));
  }

  private _isOwnZone({ availabilityZone }: PeerIdentity): boolean {
    return availabilityZone === this._structure.membership.self.availabilityZone;
  }

  private _notify(told: T, wants: (member: Member) => boolean): void {
    this._structure.membership.notifyAll(this._structure.topic, told, wants);
  }
}
