import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import * as zod from "zod";
import { isCutOff } from "../discovery/ChangeFeed.js";
import type { FeedFollower } from "../discovery/FeedFollower.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { logInvalidPeerMessage } from "./logInvalidPeerMessage.js";
import type { ChangeCodec } from "./ChangeCodec.js";
import type { PeerClocks } from "./PeerClocks.js";
import { ZoneRole } from "./ZoneRole.js";

const roleName = "store-reader";
/** Interval of the check of the role; it is well below {@link staleMs}. */
const tickMs = 200;
/**
 * A reader that has had no answer for longer than this does not reach the store: the other instances begin to read by themselves, and one
 * of them takes over the role. In the present deployments, the notice of a draining endpoint has to reach all instances within 2 s. The
 * long polls of a healthy reader last 0.4 s, so the age stays below 0.8 s, or slightly more while the store is slow.
 */
const staleMs = 1_400;

/**
 * Instances that receive nothing from their reader begin to read in this many groups, one after the other, and relay what they read. If
 * the store responds to at least one instance of the first group, the others need not call it.
 */
const fallbackGroups = 2;

/**
 * For this long after its start an instance reads only the first snapshot of each feed, since it is not linked to its zone yet: links are
 * established within half a second, and relayed reads arrive within another half. Without this delay each instance made about six reads of
 * both feeds at each start.
 */
const settlingMs = 1_000;

/** Dependencies of {@link StoreRelay}. */
export interface StoreRelayStructure {
  readonly membership: Pick<Membership, "self" | "getZoneRoleCandidates" | "notifyAll" | "onNotice">;
  readonly log: DecisionLog;
  readonly clocks: Pick<PeerClocks, "read" | "getSentAtMs">;
  /** Asks a peer for its clock and for what its pages would tell. */
  readonly refreshFrom: (peer: string) => Promise<void>;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/** A relayed feed, independent of the type of its values. */
interface RelayedFeed {
  readonly getAnswerAgeMs: () => number;
  readonly setReader: (isReader: boolean, isFallbackReader: boolean) => void;
}

/**
 * Relays the store's feeds within an availability zone: one instance, the reader, reads them and sends what it has read to the others, so
 * that the number of calls to the store grows with the zones and not with the instances. An instance that receives nothing reads by
 * itself.
 */
export class StoreRelay {
  private readonly _nowMs: () => number;
  private readonly _role: ZoneRole;
  private readonly _feeds: RelayedFeed[] = [];
  /** Peers that are being asked because a page of theirs was outdated. */
  private readonly _refreshing = new Set<string>();
  private readonly _pauses: utils.PauseDetector;
  private readonly _startedAtMs: number;
  private readonly _fallbackDelayMs: number;

  constructor(private readonly _structure: StoreRelayStructure) {
    const { membership, log, nowMs } = _structure;
    this._nowMs = nowMs ?? utils.monotonicMs;
    this._startedAtMs = this._nowMs();
    this._pauses = new utils.PauseDetector(tickMs, this._nowMs);
    this._fallbackDelayMs = (utils.hash32(membership.self.name) % fallbackGroups) * tickMs;
    this._role = new ZoneRole({ name: roleName, membership, log, nowMs });
  }

  /** Whether this instance is the reader of its zone now. */
  get isReader(): boolean {
    return this._role.isOwn;
  }

  /** Adds a feed to relay. */
  addFeed<T, TEncoded>(topic: string, follower: FeedFollower<T>, codec: ChangeCodec<T, TEncoded>): void {
    this._sendReads(topic, follower, codec);
    this._receiveReads(topic, follower, codec);
    follower.setReader(false);
    this._feeds.push({
      getAnswerAgeMs: () => follower.getAnswerAgeMs(),
      setReader: (isReader, isFallbackReader) => follower.setReader(isReader, isFallbackReader),
    });
  }

  /** Checks the role periodically until `signal` aborts. */
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

  /**
   * Updates the role. If the store has not answered a read of any feed for too long, this instance reads by itself, whichever instance
   * holds the role.
   */
  check(): void {
    this._role.noteSuspension(this._pauses.noteTick());
    // An answer for any feed shows that the store is reachable; the feed with the shorter long polls has the latest one.
    const ageMs = Math.min(...this._feeds.map((feed) => feed.getAnswerAgeMs()));
    if (this.isReader && (this._role.isAlone || ageMs < staleMs)) this._role.noteActivity();
    this._role.update();
    const isSettling = this._nowMs() - this._startedAtMs < settlingMs;
    const isFallbackReader = !this.isReader && ageMs > staleMs + this._fallbackDelayMs;
    const isReading = (this.isReader && (!isSettling || ageMs > staleMs)) || isFallbackReader;
    for (const feed of this._feeds) feed.setReader(isReading, isFallbackReader);
  }

  private _sendReads<T, TEncoded>(
    topic: string,
    follower: FeedFollower<T>,
    codec: ChangeCodec<T, TEncoded>,
  ): void {
    follower.onRead((page, fromOffset) => {
      if (!this.isReader && !follower.isFallbackReader) return;
      const changes = codec.encode(page.changes);
      const { nextOffset, endOffset } = page;
      // A page that was cut off leaves the freshness of the complete set before it.
      const proofAgeMs = follower.getFreshnessAgeMs();
      const { nowMs: sentAtMs, clockId } = this._structure.clocks.read();
      const position = { fromOffset, nextOffset, endOffset };
      this._notifyZone(topic, { ...position, changes, proofAgeMs, sentAtMs, clockId });
    });
  }

  private _receiveReads<T, TEncoded>(
    topic: string,
    follower: FeedFollower<T>,
    codec: ChangeCodec<T, TEncoded>,
  ): void {
    const { membership, log } = this._structure;
    const pageSchema = createPageSchema(codec.schema);
    membership.onNotice(topic, (body, from) => {
      const page = pageSchema.safeParse(body);
      if (!page.success) return logInvalidPeerMessage(log, topic, from);
      const { proofAgeMs, fromOffset, nextOffset, endOffset = nextOffset } = page.data;
      const { sentAtMs: peerMs, clockId } = page.data;
      // A key may have been revoked since the page was sent. A page that can't be dated proves nothing.
      const sentAtMs =
        this._structure.clocks.getSentAtMs(from.name, peerMs, clockId) ?? Number.NEGATIVE_INFINITY;
      const encoded = page.data.changes;
      const changes = encoded === undefined ? undefined : codec.decode(encoded as TEncoded);
      const freshAtMs = sentAtMs - proofAgeMs;
      const answeredAtMs = isCutOff({ nextOffset, endOffset }) ? sentAtMs : freshAtMs;
      follower.applyPeerPage({ fromOffset, nextOffset, endOffset, changes }, freshAtMs, answeredAtMs);
      const hasStoreAnswered = proofAgeMs < staleMs || isCutOff({ nextOffset, endOffset });
      if (from.name === this._role.holder && hasStoreAnswered) this._role.noteActivity();
      if (this._nowMs() - sentAtMs > staleMs) void this._refreshFrom(from.name);
    });
  }

  /**
   * Asks the sender of a page that was sent too long ago to prove anything of use, or that can't be dated. After a cut, the answer to a
   * question takes only a round trip, while the next page takes a long poll of the reader.
   */
  private async _refreshFrom(peer: string): Promise<void> {
    if (this._refreshing.has(peer)) return;
    this._refreshing.add(peer);
    await this._structure.refreshFrom(peer).finally(() => this._refreshing.delete(peer));
  }

  private _notifyZone(topic: string, body: object): void {
    const { membership } = this._structure;
    const { availabilityZone } = membership.self;
    membership.notifyAll(topic, body, (member) => member.availabilityZone === availabilityZone);
  }
}

/** Creates the schema of a relayed read. A read without `changes` only announces that there are changes. */
function createPageSchema<TEncoded>(changesSchema: zod.ZodType<TEncoded>) {
  return zod.object({
    fromOffset: zod.number(),
    nextOffset: zod.number(),
    /** Undefined if the peer is of an earlier version, which does not state the end. */
    endOffset: zod.number().optional(),
    proofAgeMs: zod.number(),
    /** Time of the sender's clock; undefined if the peer is of an earlier version. */
    sentAtMs: zod.number().optional(),
    /** Identifies the sender's clock; undefined if the peer is of an earlier version, whose clock may run ahead. */
    clockId: zod.string().optional(),
    changes: changesSchema.optional(),
  });
}
