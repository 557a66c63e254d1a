/**
 * What instances tell each other of crashes. News goes to the own zone and to a few of each other one, and those pass on what was news to
 * them, so that a crash costs about as many messages as there are instances. A link that comes to stand brings all that is known, which
 * serves whoever was cut off, has just started or was added.
 */
import { utils } from "@shedtiller/common";
import type { Member, Membership, PeerIdentity } from "@shedtiller/membership";
import { isAnythingTold, toldCrashesSchema, type ToldCrashes } from "./crashMessages.js";

const crashTopic = "crashes";
/** Instances of each other zone that are told first: one of them may have just died. */
const toldPerZone = 2;

/** What an exchange works with. */
export interface CrashExchangeStructure {
  readonly membership: Pick<Membership, "self" | "getLinked" | "notifyAll" | "onLinked" | "onNotice">;
  /** Told of a message that does not have its form; it is dropped, since a peer of another version may send it. */
  readonly onInvalid: (topic: string, from: PeerIdentity) => void;
  /** Takes what a peer told; gives what of it was news. */
  readonly take: (told: ToldCrashes) => ToldCrashes;
  /** All that is known here. */
  readonly tellAll: () => ToldCrashes;
  /** From 0 to 1, replaced in tests. */
  readonly random?: () => number;
}

/** One exchange an instance. */
export class CrashExchange {
  constructor(private readonly _structure: CrashExchangeStructure) {
    const { membership } = _structure;
    membership.onNotice(crashTopic, (body, from) => this._take(body, from));
    membership.onLinked((peer) => this._greet(peer));
  }

  /** Tells what was found here. */
  tell(news: ToldCrashes): void {
    const first = this._getFirstTold();
    this._notify(news, (member) => this._isOwnZone(member) || first.has(member.name));
  }

  private _greet(peer: PeerIdentity): void {
    const all = this._structure.tellAll();
    if (isAnythingTold(all)) this._notify(all, (member) => member.name === peer.name);
  }

  private _take(body: unknown, from: PeerIdentity): void {
    const told = toldCrashesSchema.safeParse(body);
    if (!told.success) return this._structure.onInvalid(crashTopic, from);
    const news = this._structure.take(told.data);
    if (!isAnythingTold(news)) return;
    if (from.availabilityZone === this._structure.membership.self.availabilityZone) return;
    this._notify(news, (member) => this._isOwnZone(member));
  }

  private _getFirstTold(): Set<string> {
    const { membership, random = Math.random } = this._structure;
    const zones = utils.groupBy(membership.getLinked(), (member) => member.availabilityZone);
    const told = [...zones.values()].flatMap((members) => utils.pickSome(members, toldPerZone, random));
    return new Set(told.map((member) => member.name));
  }

  private _isOwnZone(member: Member): boolean {
    return member.availabilityZone === this._structure.membership.self.availabilityZone;
  }

  private _notify(told: ToldCrashes, wants: (member: Member) => boolean): void {
    this._structure.membership.notifyAll(crashTopic, told, wants);
  }
}
