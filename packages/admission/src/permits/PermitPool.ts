/**
 * The permits of one rate limit, at the instance that hands them out: a token bucket that fills by the limit, and turns between those
 * that want permits. No network and no timers.
 */

const msPerSecond = 1_000;
/** The bucket fills at this share of the limit; the rest covers what the bucket holds, over a window of four seconds. */
const filledShare = 0.94;
const bucketSeconds = 0.1;
const longestFillSeconds = 0.5;
/** Permits that are handed out and not known to be used: what the limit allows in this time, beside the bucket. */
const inHandSeconds = 0.25;
/** Permits of which nothing is heard for this long were used, or their holder is gone. */
const unsettledMs = 1_500;
/** An endpoint that got too much before its limit was known gets nothing for this long at most. */
const longestDebtSeconds = 2;

/** Permits that somebody wants. */
export interface PermitDemand {
  readonly count: number;
  /** Of these, for requests that wait for one. */
  readonly waiting: number;
}

interface Participant {
  want: PermitDemand;
  /** What it wanted when it last asked, and how many of its requests waited then. */
  demand: number;
  waiting: number;
  /** Permits that wait for its next ask. */
  reserved: number;
  /** Virtual start time of its next permit (start-time fair queuing; Goyal, Vin and Cheng, 1996). */
  startTag: number;
}

/** One pool for each limit. */
export class PermitPool {
  private readonly _participants = new Map<string, Participant>();
  private _balance = 0;
  /** Permits handed out for requests that wait, of which it is not told yet that they are used. */
  private _spent = 0;
  /** Other permits handed out that are not settled yet, the oldest first. */
  private _inHand: { count: number; readonly atMs: number }[] = [];
  private _virtualTime = 0;
  private _filledAtMs: number;

  constructor(
    private _perSecond: number,
    private readonly _nowMs: () => number,
  ) {
    this._filledAtMs = _nowMs();
  }

  /** Takes another limit. */
  setPerSecond(perSecond: number): void {
    this._perSecond = perSecond;
    this._balance = Math.min(this._balance, this._bucket);
  }

  /**
   * Fills the bucket for the time that has passed.
   * @param weight - The part of the limit that this pool hands out, from 0 to 1.
   */
  fill(weight: number): void {
    const nowMs = this._nowMs();
    // After a pause of its own this instance would hand out at once what was meant for all of that time.
    const seconds = Math.min(longestFillSeconds, (nowMs - this._filledAtMs) / msPerSecond);
    this._filledAtMs = nowMs;
    // Permits in hand may all be used at one moment, so that there are never many of them.
    const room = this._bucket + this._perSecond * inHandSeconds - this._balance - this._countInHand(nowMs);
    this._balance += Math.max(0, Math.min(room, seconds * this._perSecond * filledShare * weight));
    this._allot();
    this._balance = Math.min(this._bucket, this._balance);
  }

  /** Takes note that permits which were handed out are used, or have come back. */
  settle(used: number, returned: number): void {
    // What another pool handed out does not come back to this one.
    const own = Math.min(returned, this._spent + this._countInHand(this._nowMs()));
    const expected = Math.min(used + returned, this._spent);
    this._spent -= expected;
    let left = used + returned - expected;
    while (left > 0) {
      const [oldest] = this._inHand;
      if (oldest === undefined) break;
      const count = Math.min(left, oldest.count);
      oldest.count -= count;
      left -= count;
      if (oldest.count === 0) this._inHand.shift();
    }
    this.deposit(own);
  }

  /** Adds permits that another pool handed out, or that came back. */
  deposit(count: number): void {
    this._balance += count;
    this._allot();
  }

  /** Gives all permits that nobody wants, for the pool that handed them out. */
  withdraw(): number {
    const count = Math.max(0, Math.floor(this._balance));
    this._balance -= count;
    return count;
  }

  /** Takes sends into account that had no permit. */
  charge(count: number): void {
    if (count > 0) this._balance = Math.max(-this._perSecond * longestDebtSeconds, this._balance - count);
  }

  /** Takes what a participant wants now, in place of what it wanted before. */
  setWant(name: string, want: PermitDemand): void {
    const known = this._participants.get(name) ?? this._createParticipant();
    // One that wanted nothing for a while has saved up no turns.
    if (known.want.count === 0) known.startTag = Math.max(known.startTag, this._virtualTime);
    known.want = { ...want, count: Math.max(0, want.count - known.reserved) };
    known.demand = want.count;
    known.waiting = want.waiting;
    this._participants.set(name, known);
    this._allot();
  }

  /** Hands out what a participant may have now, up to `most`; the rest goes to the others. */
  take(name: string, most: number): number {
    const participant = this._participants.get(name);
    if (participant === undefined) return 0;
    const { reserved } = participant;
    const count = Math.min(reserved, most);
    participant.reserved = 0;
    // What requests wait for is used at once.
    const spent = Math.min(count, participant.waiting);
    this._spent += spent;
    if (count > spent) this._inHand.push({ count: count - spent, atMs: this._nowMs() });
    if (count < reserved) this._giveToOthers(name, reserved - count);
    return count;
  }

  /** Takes note that a participant wants nothing any more. */
  drop(name: string): void {
    this.keep((participant) => participant !== name);
  }

  /** Forgets participants that are gone; what waited for them goes to the others. */
  keep(isKept: (name: string) => boolean): void {
    for (const [name, { reserved }] of this._participants) {
      if (isKept(name)) continue;
      this._participants.delete(name);
      this.deposit(reserved);
    }
  }

  /** What is wanted beyond the permits at hand. */
  getUnfilled(): PermitDemand {
    let count = 0;
    let waiting = 0;
    for (const { want } of this._participants.values()) {
      count += want.count;
      waiting += want.waiting;
    }
    return { count, waiting };
  }

  private _createParticipant(): Participant {
    const want = { count: 0, waiting: 0 };
    return { want, demand: 0, waiting: 0, reserved: 0, startTag: this._virtualTime };
  }

  private _giveToOthers(name: string, count: number): void {
    this._participants.delete(name);
    this.deposit(count);
  }

  private get _bucket(): number {
    return Math.max(1, this._perSecond * bucketSeconds);
  }

  private _countInHand(nowMs: number): number {
    this._inHand = this._inHand.filter(({ atMs }) => nowMs - atMs < unsettledMs);
    return this._inHand.reduce((sum, { count }) => sum + count, 0);
  }

  private _allot(): void {
    while (this._balance >= 1) {
      const next = this._pickNext();
      if (next === undefined) return;
      this._virtualTime = next.startTag;
      next.startTag += 1 / Math.max(1, next.demand);
      next.want = { count: next.want.count - 1, waiting: Math.max(0, next.want.waiting - 1) };
      next.reserved += 1;
      this._balance -= 1;
    }
  }

  /** Requests that wait go first; otherwise permits are shared by demand. */
  private _pickNext(): Participant | undefined {
    let best: Participant | undefined;
    for (const participant of this._participants.values()) {
      if (participant.want.count <= 0) continue;
      if (best === undefined || this._isBefore(participant, best)) best = participant;
    }
    return best;
  }

  private _isBefore(one: Participant, other: Participant): boolean {
    const isWaiting = one.want.waiting > 0;
    if (isWaiting !== other.want.waiting > 0) return isWaiting;
    return one.startTag < other.startTag;
  }
}
