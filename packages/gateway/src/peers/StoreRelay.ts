/**
 * One instance of each zone reads the store's feeds and tells the others of its zone what it has read, so that calls to the
 * store grow with the zones and not with the instances. An instance that is not told reads by itself.
 */
import { utils } from "@shedtiller/common";
import type { Membership, PeerIdentity } from "@shedtiller/membership";
import * as zod from "zod";
import type { FeedFollower } from "../discovery/FeedFollower.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { ZoneDuty } from "./ZoneDuty.js";

const dutyName = "store-reader";
const tellIntervalMs = 400;
/**
 * A reader whose proofs are older than this does not reach the store, and another one takes over. Reads are held for a second,
 * so the proofs of a sound reader are at most two seconds old, and some more while the store is slow.
 */
const staleReaderMs = 2_600;
/** An instance that nobody has told of a proof for this long reads by itself, whoever has the duty. */
const readAloneAfterMs = 2_800;

/** What a relay works with. */
export interface StoreRelayStructure {
  readonly membership: Pick<Membership, "self" | "getDutyCandidates" | "notifyAll" | "onNotice">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/** A feed that is relayed; the type of its values is known to its own closures only. */
interface RelayedFeed {
  readonly getProofAgeMs: () => number;
  readonly setReader: (isReader: boolean) => void;
  readonly tellProof: () => void;
}

/** One relay an instance. */
export class StoreRelay {
  private readonly _nowMs: () => number;
  private readonly _duty: ZoneDuty;
  private readonly _feeds: RelayedFeed[] = [];

  constructor(private readonly _structure: StoreRelayStructure) {
    const { membership, log, nowMs } = _structure;
    this._nowMs = nowMs ?? utils.monotonicMs;
    this._duty = new ZoneDuty({ name: dutyName, membership, log, nowMs });
  }

  /** Whether this instance reads the store for its zone now. */
  get isReader(): boolean {
    return this._duty.isOwn;
  }

  /**
   * Relays a feed.
   * @param valueSchema - Form of the values that are told; undefined where only the fact of a change is told, since values are large.
   */
  add<T>(topic: string, follower: FeedFollower<T>, valueSchema: zod.ZodType<T> | undefined): void {
    const told = zod.object({
      fromOffset: zod.number(),
      nextOffset: zod.number(),
      proofAgeMs: zod.number(),
      changes: zod
        .array(zod.object({ key: zod.string(), value: (valueSchema ?? zod.never()).optional() }))
        .optional(),
    });
    const tell = (fromOffset: number, nextOffset: number, changes: unknown): void =>
      this._tell(topic, { fromOffset, nextOffset, changes, proofAgeMs: follower.getProofAgeMs() });
    follower.onRead((page, fromOffset) => {
      if (!this.isReader) return;
      tell(fromOffset, page.nextOffset, valueSchema === undefined ? undefined : page.changes);
    });
    this._structure.membership.onNotice(topic, (body, from) => {
      const page = told.safeParse(body);
      if (!page.success) return this._noteBad(topic, from);
      const { proofAgeMs, fromOffset, nextOffset } = page.data;
      const changes = page.data.changes?.map(({ key, value }) => ({ key, value: value as T | undefined }));
      follower.takeTold({ fromOffset, nextOffset, changes }, this._nowMs() - proofAgeMs);
      if (from.name === this._duty.holder && proofAgeMs < staleReaderMs) this._duty.noteSign();
    });
    this._feeds.push({
      getProofAgeMs: () => follower.getProofAgeMs(),
      setReader: (isReader) => follower.setReader(isReader),
      tellProof: () => {
        const { nextOffset } = follower;
        if (nextOffset !== undefined) tell(nextOffset, nextOffset, undefined);
      },
    });
  }

  /** Tells from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      tellIntervalMs,
      signal,
      () => this.tell(),
      (error) => {
        this._structure.log.error("store-relay-failed", { cause: String(error) });
      },
    );
  }

  /** Takes or gives up the duty, and tells the proofs where this instance has it. */
  tell(): void {
    const oldestMs = Math.max(...this._feeds.map((feed) => feed.getProofAgeMs()));
    if (this.isReader && (this._duty.isAlone || oldestMs < staleReaderMs)) this._duty.noteSign();
    this._duty.update();
    for (const feed of this._feeds) {
      feed.setReader(this.isReader || feed.getProofAgeMs() > readAloneAfterMs);
      if (this.isReader) feed.tellProof();
    }
  }

  private _tell(topic: string, body: object): void {
    const { membership } = this._structure;
    const { availabilityZone } = membership.self;
    membership.notifyAll(topic, body, (member) => member.availabilityZone === availabilityZone);
  }

  private _noteBad(topic: string, from: PeerIdentity): void {
    this._structure.log.warn("peer-message-invalid", { topic, peer: from.name });
  }
}
