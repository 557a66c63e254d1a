const msPerSecond = 1_000;
/** Share of the limit at which the bucket is filled. The rest covers the capacity of the bucket over a window of four seconds. */
const fillShare = 0.94;
const bucketSeconds = 0.1;
const maxFillSeconds = 0.5;
/** Maximum number of outstanding permits (granted, not reported as used), in seconds of the limit and in addition to the bucket. */
const maxOutstandingSeconds = 0.25;
/** Permits that are not reported for this long count as used, or as lost with the instance that they were granted to. */
const unsettledMs = 1_500;
/** Maximum time without permits for an endpoint that received too many requests before its limit was known. */
const maxDebtSeconds = 2;

/** Demand of a participant for permits. */
export interface PermitDemand {
  readonly count: number;
  /** Number of these permits that are for waiting requests. */
  readonly waiting: number;
}

interface Participant {
  /** Demand that is not covered by reserved permits. */
  unmet: PermitDemand;
  /** Demand in the last permit request, and how many requests waited then. */
  demand: number;
  waiting: number;
  /** Permits that are granted with the next permit request. */
  reserved: number;
  /** Virtual start time of the next permit (start-time fair queuing; Goyal, Vin and Cheng, 1996). */
  startTag: number;
}

/**
 * Grants the permits of one rate limit: a token bucket that fills at the rate of the limit, and fair queuing between the participants that
 * demand permits. It uses neither the network nor timers.
 */
export class PermitPool {
  private readonly _participants = new Map<string, Participant>();
  private _balance = 0;
  /** Permits that were granted for waiting requests and are not reported as used yet. */
  private _grantedToWaiting = 0;
  /** Other granted permits that are not settled yet, the oldest first. */
  private _outstanding: { count: number; readonly atMs: number }[] = [];
  private _virtualTime = 0;
  private _filledAtMs: number;

  constructor(
    private _perSecond: number,
    private readonly _nowMs: () => number,
  ) {
    this._filledAtMs = _nowMs();
  }

  /** Changes the limit. */
  setPerSecond(perSecond: number): void {
    this._perSecond = perSecond;
    this._balance = Math.min(this._balance, this._capacity);
  }

  /**
   * Fills the bucket for the time that has passed.
   * @param weight - Share of the limit that this pool grants, from 0 to 1.
   */
  fill(weight: number): void {
    const nowMs = this._nowMs();
    // Without this bound, an instance that was suspended would grant the permits of all of that time at once.
    const seconds = Math.min(maxFillSeconds, (nowMs - this._filledAtMs) / msPerSecond);
    this._filledAtMs = nowMs;
    // All outstanding permits may be used at the same moment, so their number is bounded.
    const freeCapacity =
      this._capacity +
      this._perSecond * maxOutstandingSeconds -
      this._balance -
      this._countOutstanding(nowMs);
    this._balance += Math.max(0, Math.min(freeCapacity, seconds * this._perSecond * fillShare * weight));
    this._reserve();
    this._balance = Math.min(this._capacity, this._balance);
  }

  /** Settles granted permits that were used, or returned unused. */
  settle(used: number, returned: number): void {
    // Permits that another pool granted don't return to this one.
    const own = Math.min(returned, this._grantedToWaiting + this._countOutstanding(this._nowMs()));
    const expected = Math.min(used + returned, this._grantedToWaiting);
    this._grantedToWaiting -= expected;
    let remaining = used + returned - expected;
    while (remaining > 0) {
      const [oldest] = this._outstanding;
      if (oldest === undefined) break;
      const count = Math.min(remaining, oldest.count);
      oldest.count -= count;
      remaining -= count;
      if (oldest.count === 0) this._outstanding.shift();
    }
    this.deposit(own);
  }

  /** Adds permits that another pool granted, or that were returned. */
  deposit(count: number): void {
    this._balance += count;
    this._reserve();
  }

  /** Removes and returns all permits without demand, so that they go back to the pool that granted them. */
  withdraw(): number {
    const count = Math.max(0, Math.floor(this._balance));
    this._balance -= count;
    return count;
  }

  /** Deducts requests that were sent without a permit. */
  charge(count: number): void {
    if (count > 0) this._balance = Math.max(-this._perSecond * maxDebtSeconds, this._balance - count);
  }

  /** Sets the demand of a participant, replacing its previous one. */
  setDemand(name: string, demand: PermitDemand): void {
    const known = this._participants.get(name) ?? this._createParticipant();
    // A participant that had no demand for a while must not have accumulated turns.
    if (known.unmet.count === 0) known.startTag = Math.max(known.startTag, this._virtualTime);
    known.unmet = { ...demand, count: Math.max(0, demand.count - known.reserved) };
    known.demand = demand.count;
    known.waiting = demand.waiting;
    this._participants.set(name, known);
    this._reserve();
  }

  /** Grants a participant its reserved permits, up to `max`; the rest goes to the others. */
  grant(name: string, max: number): number {
    const participant = this._participants.get(name);
    if (participant === undefined) return 0;
    const { reserved } = participant;
    const count = Math.min(reserved, max);
    participant.reserved = 0;
    // Permits for waiting requests are used at once.
    const forWaiting = Math.min(count, participant.waiting);
    this._grantedToWaiting += forWaiting;
    if (count > forWaiting) this._outstanding.push({ count: count - forWaiting, atMs: this._nowMs() });
    if (count < reserved) this._redistribute(name, reserved - count);
    return count;
  }

  /** Removes a participant. */
  removeParticipant(name: string): void {
    this.retainParticipants((participant) => participant !== name);
  }

  /** Removes the participants for which `isRetained` returns false; the permits reserved for them go to the remaining ones. */
  retainParticipants(isRetained: (name: string) => boolean): void {
    for (const [name, { reserved }] of this._participants) {
      if (isRetained(name)) continue;
      this._participants.delete(name);
      this.deposit(reserved);
    }
  }

  /** Returns the total demand that is not covered by reserved permits. */
  getUnmetDemand(): PermitDemand {
    let count = 0;
    let waiting = 0;
    for (const { unmet } of this._participants.values()) {
      count += unmet.count;
      waiting += unmet.waiting;
    }
    return { count, waiting };
  }

  private _createParticipant(): Participant {
    const unmet = { count: 0, waiting: 0 };
    return { unmet, demand: 0, waiting: 0, reserved: 0, startTag: this._virtualTime };
  }

  private _redistribute(name: string, count: number): void {
    this._participants.delete(name);
    this.deposit(count);
  }

  private get _capacity(): number {
    return Math.max(1, this._perSecond * bucketSeconds);
  }

  private _countOutstanding(nowMs: number): number {
    this._outstanding = this._outstanding.filter(({ atMs }) => nowMs - atMs < unsettledMs);
    return this._outstanding.reduce((sum, { count }) => sum + count, 0);
  }

  private _reserve(): void {
    while (this._balance >= 1) {
      const next = this._getNext();
      if (next === undefined) return;
      this._virtualTime = next.startTag;
      next.startTag += 1 / Math.max(1, next.demand);
      next.unmet = { count: next.unmet.count - 1, waiting: Math.max(0, next.unmet.waiting - 1) };
      next.reserved += 1;
      this._balance -= 1;
    }
  }

  /** Returns the participant that the next permit is reserved for. Waiting requests go first; otherwise permits are shared by demand. */
  private _getNext(): Participant | undefined {
    let best: Participant | undefined;
    for (const participant of this._participants.values()) {
      if (participant.unmet.count <= 0) continue;
      if (best === undefined || this._isBefore(participant, best)) best = participant;
    }
    return best;
  }

  private _isBefore(first: Participant, second: Participant): boolean {
    const isWaiting = first.unmet.waiting > 0;
    if (isWaiting !== second.unmet.waiting > 0) return isWaiting;
    return first.startTag < second.startTag;
  }
}
