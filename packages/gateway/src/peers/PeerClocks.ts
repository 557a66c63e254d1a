/** The clocks of the other instances, compared with the own one. */
import { randomUUID } from "node:crypto";
import { utils } from "@shedtiller/common";
import {
  clockReadingSchema,
  MessageClocks,
  type ClockReading,
  type Membership,
} from "@shedtiller/membership";
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

/** What a peer's answer tells of its clock. */
interface ClockAnswer {
  readonly clockId: string;
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
  /** Clock that peers date the messages of this instance by; replaced in tests. */
  readonly steadyMs?: (() => number) | undefined;
}

/**
 * Dates messages of peers by the own clock, however long a link has held them up: behind a cut a message waits for seconds, and its age as of
 * its send says nothing of that. A peer that is asked reads its clock after the question was sent, so what it sends at a later time
 * of its clock was sent later than the question by at least the difference.
 *
 * Peers read the steady clock, which stops while a machine is suspended, so that a message may count as older than it is. The monotonic
 * clock, which may count a step of the wall clock as elapsed time, would make it younger.
 */
export class PeerClocks extends MessageClocks {
  /** Latest answers by peer. */
  private readonly _answers = new Map<string, ClockAnswer>();
  private readonly _nowMs: () => number;
  private readonly _steadyMs: () => number;
  private readonly _clockId = randomUUID();

  constructor(private readonly _structure: PeerClocksStructure) {
    super();
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._steadyMs = _structure.steadyMs ?? utils.steadyMs;
    const { membership } = _structure;
    membership.onRequest(peerTopics.clock, () => Promise.resolve(this.read()));
    membership.onLinked((peer) => void this.ask(peer.name));
  }

  override read(): ClockReading {
    return { nowMs: this._steadyMs(), clockId: this._clockId };
  }

  /**
   * Returns the earliest own time at which a peer can have sent a message that carries a reading of its clock. Undefined without a reading, and
   * until the same clock has answered: a process that has restarted has another one.
   */
  getSentAtMs(peer: string, sentAtMs: number | undefined, clockId: string | undefined): number | undefined {
    const answer = this._answers.get(peer);
    if (answer === undefined || sentAtMs === undefined || answer.clockId !== clockId) return undefined;
    return Math.min(this._nowMs(), sentAtMs + answer.offsetMs);
  }

  override getDelayMs(peer: string, reading: ClockReading | undefined): number {
    const nowMs = this._nowMs();
    return nowMs - (this.getSentAtMs(peer, reading?.nowMs, reading?.clockId) ?? nowMs);
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

  /** Asks a peer for the time of its clock. A peer of an earlier build does not answer, or with a clock that may run ahead. */
  async ask(peer: string): Promise<void> {
    const askedAtMs = this._nowMs();
    const reply = await this._structure.membership.request(peer, peerTopics.clock, null, askingTimeoutMs);
    const clock = clockReadingSchema.safeParse(reply.ok ? reply.val : undefined);
    if (!clock.success) return;
    const { nowMs, clockId } = clock.data;
    const isLong = this._nowMs() - askedAtMs > longRoundTripMs;
    const known = this._answers.get(peer);
    if (isLong && known?.clockId === clockId && askedAtMs - known.askedAtMs < maxAgeMs) return;
    this._answers.set(peer, { clockId, offsetMs: askedAtMs - nowMs, askedAtMs });
  }
}
