/**
 * One instance of each zone reads the store's feeds and tells the others of its zone what it has read, so that calls to the
 * store grow with the zones and not with the instances. An instance that is not told reads by itself.
 */
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import * as zod from "zod";
import type { FeedFollower } from "../discovery/FeedFollower.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import type { ChangeCodec } from "./ChangeCodec.js";
import { ZoneDuty } from "./ZoneDuty.js";

const dutyName = "store-reader";
/** The duty is looked after this often: well within the bound below. */
const tickMs = 200;
/**
 * A reader without a proof for this long does not reach the store: an instance that is told nothing newer reads by itself, and
 * another one takes over. An endpoint that leaves has to be known to all within 2 s, on the deployments at hand. The reads of a
 * sound reader are held for 0.4 s, so its proofs are at most 0.8 s old, and some more while the store is slow.
 */
const staleMs = 1_400;

/**
 * Instances that are told nothing stand in for their reader one group after the other, and tell what they read: where the store answers
 * at least one of the first group, the others need not ask it.
 */
const standInGroups = 2;

/**
 * For this long after its start an instance reads nothing beyond its first list, since it does not know its zone yet: links stand
 * within half a second, and what is told within the next. Without it each start makes some six reads, of both feeds, by each instance.
 */
const settlingMs = 1_000;

/** What a relay works with. */
export interface StoreRelayStructure {
  readonly membership: Pick<Membership, "self" | "getZoneRoleCandidates" | "notifyAll" | "onNotice">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/** A feed that is relayed; the type of its values is known to its own closures only. */
interface RelayedFeed {
  readonly getProofAgeMs: () => number;
  readonly setReader: (isReader: boolean, isStandIn: boolean) => void;
}

/** One relay an instance. */
export class StoreRelay {
  private readonly _nowMs: () => number;
  private readonly _duty: ZoneDuty;
  private readonly _feeds: RelayedFeed[] = [];
  private readonly _pauses: utils.PauseDetector;
  private readonly _startedAtMs: number;
  private readonly _standInDelayMs: number;

  constructor(private readonly _structure: StoreRelayStructure) {
    const { membership, log, nowMs } = _structure;
    this._nowMs = nowMs ?? utils.monotonicMs;
    this._startedAtMs = this._nowMs();
    this._pauses = new utils.PauseDetector(tickMs, this._nowMs);
    this._standInDelayMs = (utils.hash32(membership.self.name) % standInGroups) * tickMs;
    this._duty = new ZoneDuty({ name: dutyName, membership, log, nowMs });
  }

  /** Whether this instance reads the store for its zone now. */
  get isReader(): boolean {
    return this._duty.isOwn;
  }

  /** Relays a feed. */
  add<T, TTold>(topic: string, follower: FeedFollower<T>, relayed: ChangeCodec<T, TTold>): void {
    this._tellReads(topic, follower, relayed);
    this._takeReads(topic, follower, relayed);
    follower.setReader(false);
    this._feeds.push({
      getProofAgeMs: () => follower.getFreshnessAgeMs(),
      setReader: (isReader, isStandIn) => follower.setReader(isReader, isStandIn),
    });
  }

  /** Looks after the duty from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      tickMs,
      signal,
      () => this.check(),
      (error) => {
        this._structure.log.error("store-relay-failed", { cause: String(error) });
      },
    );
  }

  /** Takes or gives up the duty; without a proof for too long this instance reads by itself, whoever has the duty. */
  check(): void {
    this._duty.noteSuspension(this._pauses.noteTick());
    // Any feed's proof shows that the store is reached; the one with the shorter reads is the newer.
    const ageMs = Math.min(...this._feeds.map((feed) => feed.getProofAgeMs()));
    if (this.isReader && (this._duty.isAlone || ageMs < staleMs)) this._duty.noteSign();
    this._duty.update();
    const isSettling = this._nowMs() - this._startedAtMs < settlingMs;
    const isStandIn = !this.isReader && ageMs > staleMs + this._standInDelayMs;
    const isReading = (this.isReader && (!isSettling || ageMs > staleMs)) || isStandIn;
    for (const feed of this._feeds) feed.setReader(isReading, isStandIn);
  }

  private _tellReads<T, TTold>(
    topic: string,
    follower: FeedFollower<T>,
    relayed: ChangeCodec<T, TTold>,
  ): void {
    follower.onRead((page, fromOffset) => {
      if (!this.isReader && !follower.isFallbackReader) return;
      const changes = relayed.encode(page.changes);
      const proofAgeMs = follower.getFreshnessAgeMs();
      this._tell(topic, { fromOffset, nextOffset: page.nextOffset, changes, proofAgeMs });
    });
  }

  private _takeReads<T, TTold>(
    topic: string,
    follower: FeedFollower<T>,
    relayed: ChangeCodec<T, TTold>,
  ): void {
    const { membership, log } = this._structure;
    const toldSchema = createToldSchema(relayed.schema);
    membership.onNotice(topic, (body, from) => {
      const page = toldSchema.safeParse(body);
      if (!page.success) return logInvalidPeerMessage(log, topic, from);
      const { proofAgeMs, fromOffset, nextOffset } = page.data;
      const told = page.data.changes;
      const changes = told === undefined ? undefined : relayed.decode(told as TTold);
      // What waited here while this instance stood still is older than it says: a key may have been taken away since.
      const ageMs = proofAgeMs + this._pauses.getRecentPauseMs();
      follower.applyPeerPage({ fromOffset, nextOffset, changes }, this._nowMs() - ageMs);
      if (from.name === this._duty.holder && proofAgeMs < staleMs) this._duty.noteSign();
    });
  }

  private _tell(topic: string, body: object): void {
    const { membership } = this._structure;
    const { availabilityZone } = membership.self;
    membership.notifyAll(topic, body, (member) => member.availabilityZone === availabilityZone);
  }
}

/** The form of a read that is told; without changes only the fact of them. */
function createToldSchema<TTold>(changesSchema: zod.ZodType<TTold>) {
  return zod.object({
    fromOffset: zod.number(),
    nextOffset: zod.number(),
    proofAgeMs: zod.number(),
    changes: changesSchema.optional(),
  });
}
