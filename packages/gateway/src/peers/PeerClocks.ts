/** The clocks of the other instances, compared with the own one. */
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import * as zod from "zod";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { peerTopics } from "./peerMessages.js";

/** Time for the answer to a question for the time: many round trips. */
const askingTimeoutMs = 1_000;
/** Interval between two questions to a peer; clocks drift by less than a millisecond meanwhile. */
const askingIntervalMs = 10_000;
/** Round trip from which on an answer is taken only if there is no recent one, since it places the peer's time too early. */
const longRoundTripMs = 50;
/** Age from which on an answer is replaced by any other one; clocks drift by a few milliseconds until then. */
const maxAgeMs = 60_000;

const clockSchema = zod.object({ nowMs: zod.number() });

/** What a peer's answer tells of its clock. */
interface ClockAnswer {
  /** The own time less the peer's time, at least. */
  readonly offsetMs: number;
  readonly askedAtMs: number;
}

/** Dependencies of {@link PeerClocks}. */
export interface PeerClocksStructure {
  readonly membership: Pick<Membership, "getLinked" | "request" | "onRequest" | "onLinked">;
  readonly log: Pick<DecisionLog, "error">;
  /** Monotonic clock; replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
}

/**
 * Dates messages of peers by the own clock, however long a link has held them up: behind a cut a message waits for seconds, and its age as of
 * its send says nothing of that. A peer that is asked reads its clock after the question was sent, so what it sends at a later time
 * of its clock was sent later than the question by at least the difference.
 */
export class PeerClocks {
  /** Latest answers by peer. */
  private readonly _answers = new Map<string, ClockAnswer>();
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: PeerClocksStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    const { membership } = _structure;
    membership.onRequest(peerTopics.clock, () => Promise.resolve({ nowMs: this._nowMs() }));
    membership.onLinked((peer, isResumed) => {
      // The process of a new link may be another one, with another clock.
      if (isResumed !== true) this._answers.delete(peer.name);
      void this.ask(peer.name);
    });
  }

  /** Returns the earliest own time at which a peer can have sent a message; undefined until its clock is known. */
  getSentAtMs(peer: string, peerMs: number): number | undefined {
    const answer = this._answers.get(peer);
    return answer === undefined ? undefined : Math.min(this._nowMs(), peerMs + answer.offsetMs);
  }

  /** Asks all linked peers again and again until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await utils.repeat(
      askingIntervalMs,
      signal,
      () => void this._structure.membership.getLinked().map((peer) => this.ask(peer.name)),
      (error) => this._structure.log.error("peer-clocks-failed", { cause: String(error) }),
    );
  }

  /** Asks a peer for the time of its clock. A peer of an earlier build does not answer. */
  async ask(peer: string): Promise<void> {
    const askedAtMs = this._nowMs();
    const reply = await this._structure.membership.request(peer, peerTopics.clock, null, askingTimeoutMs);
    const clock = clockSchema.safeParse(reply.ok ? reply.val : undefined);
    if (!clock.success) return;
    const isLong = this._nowMs() - askedAtMs > longRoundTripMs;
    const known = this._answers.get(peer);
    if (isLong && known !== undefined && askedAtMs - known.askedAtMs < maxAgeMs) return;
    this._answers.set(peer, { offsetMs: askedAtMs - clock.data.nowMs, askedAtMs });
  }
}
