/** Detection of the first signs that engines of running streams are lost. */
import { utils } from "@shedtiller/common";
import type { Endpoint } from "../../discovery/Endpoint.js";
import type { ChainStage } from "../../http/MessageCodec.js";
import type { EngineOrders } from "../../orders/EngineOrders.js";
import type { ForwardContext } from "../RequestForwarder.js";
import type { StreamAttempt } from "../StreamAttempt.js";
import type { EarlyMoves } from "./EarlyMoves.js";
import { EngineInquiry } from "./EngineInquiry.js";
import { askedForMs, pickQuestions, type WatchedStream } from "./pickQuestions.js";
import { getEvidenceAgeMs, moveIntervalMs, type StreamMover } from "./StreamMover.js";

/** Time to the next look while a silent stream has engines that were not asked yet. */
const followUpMs = 100;

/** Dependencies of {@link EarlyMoveWatch}. */
export interface EarlyMoveWatchStructure {
  readonly context: ForwardContext;
  readonly earlyMoves: EarlyMoves;
  readonly mover: StreamMover;
  readonly orders: EngineOrders;
  /** The running streams. */
  readonly attempts: ReadonlySet<StreamAttempt>;
  /** Silence after which streams before their first event, and streams whose new engines read their tokens, are conspicuous. */
  readonly firstEventSilenceMs: number;
  readonly laterEventSilenceMs: number;
  /** Monotonic clock. */
  readonly nowMs: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random: () => number;
}

/** Moves streams off engines that are suspected, and asks engines of silent streams whether they still work. */
export class EarlyMoveWatch {
  private readonly _inquiry: EngineInquiry;

  constructor(private readonly _structure: EarlyMoveWatchStructure) {
    this._inquiry = new EngineInquiry(_structure);
    const { endpoints } = _structure.context;
    endpoints.onChanged((endpoint, event) => {
      if (event === "suspected" || event === "confirmed") void this._handleSuspicion(endpoint);
    });
  }

  /** Looks at all streams once: moves silent ones off suspected engines, and asks about the others. */
  async look(): Promise<void> {
    // Events that arrived while this process was held up are read first.
    await utils.yieldToEvents();
    const { attempts, context, nowMs, random } = this._structure;
    const atMs = nowMs();
    const silent = [...attempts].filter(
      (attempt) => this._getSilenceMs(attempt) >= this._getLimitMs(attempt),
    );
    if (silent.length === 0) return;
    const moves = silent
      .filter((attempt) => atMs - attempt.triedMoveAtMs >= moveIntervalMs)
      .map((attempt) => this._leaveLost(attempt));
    const ids = pickQuestions({
      nowMs: atMs,
      streams: [...attempts].map((attempt) => this._toWatched(attempt)),
      askedAtMs: this._inquiry.askedAtMs,
      isKnown: (id) => this._isLostOrUnknown(id),
      random,
    });
    const asked = ids.flatMap((id) => context.endpoints.get(id) ?? []);
    await Promise.all([...moves, this._inquiry.ask(asked)]);
  }

  /** Returns the time until a stream that is silent now becomes conspicuous, or its next engines are asked; undefined if none is silent. */
  getNextLookMs(): number | undefined {
    const waits = [...this._structure.attempts].flatMap((attempt) => {
      if (!this._isAskedAbout(attempt)) return [];
      const limitMs = this._getLimitMs(attempt);
      const silenceMs = this._getSilenceMs(attempt);
      if (silenceMs < limitMs / 2 || silenceMs > limitMs + askedForMs) return [];
      return silenceMs >= limitMs ? followUpMs : limitMs - silenceMs;
    });
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** Moves the streams that use a suspected engine: all of them if it is lost, and otherwise those that are silent. */
  private async _handleSuspicion(endpoint: Endpoint): Promise<void> {
    if (endpoint.evidence === "reported") return;
    const affected = [...this._structure.attempts].filter(({ reservation }) =>
      reservation.stages.some((stage) => stage.endpointId === endpoint.id),
    );
    await Promise.all(affected.map((attempt) => this._leaveLost(attempt)));
  }

  /** Moves a stream off the lost engines of its chain, if the evidence suffices. */
  private async _leaveLost(attempt: StreamAttempt): Promise<void> {
    const { context, mover, nowMs } = this._structure;
    const left = mover.getLostStages(attempt).filter((stage) => this._mayLeave(attempt, stage));
    if (left.length === 0) return;
    const engines = left.flatMap(({ endpointId }) => context.endpoints.get(endpointId) ?? []);
    await mover.move(attempt, {
      faultyAddresses: left.map((stage) => stage.address),
      cause: engines.some(({ evidence }) => evidence === "lost") ? "lost" : "silent",
      evidenceAgeMs: getEvidenceAgeMs(engines, nowMs()),
    });
  }

  /** Returns whether a stream leaves an engine: at once if it is lost, otherwise once the stream is silent. */
  private _mayLeave(attempt: StreamAttempt, { endpointId }: ChainStage): boolean {
    const endpoint = this._structure.context.endpoints.get(endpointId);
    if (endpoint?.evidence === "lost") return true;
    const limitMs = this._getLimitMs(attempt);
    // A second attempt at another first engine reads the whole prompt again and draws on the retry budget, so it needs a longer silence.
    const isFirst = attempt.firstStage?.endpointId === endpointId;
    const neededMs = isFirst ? Math.max(limitMs, this._structure.laterEventSilenceMs) : limitMs;
    return this._getSilenceMs(attempt) >= neededMs;
  }

  private _isLostOrUnknown(endpointId: string): boolean {
    const endpoint = this._structure.context.endpoints.get(endpointId);
    return endpoint === undefined || endpoint.isSuspect(this._structure.nowMs());
  }

  private _toWatched(attempt: StreamAttempt): WatchedStream {
    return {
      lastEventAtMs: attempt.lastActivityAtMs,
      limitMs: this._isAskedAbout(attempt) ? this._getLimitMs(attempt) : Number.POSITIVE_INFINITY,
      hasPassedChain: attempt.hasPassedChain,
      endpointIds: attempt.reservation.stages.map((stage) => stage.endpointId),
    };
  }

  /**
   * Returns whether a silence of a stream leads to questions: only if its route has a target for pauses. Before the first event and after a
   * move a silence mostly means that tokens wait to be read, and the report of the first engine tells more.
   */
  private _isAskedAbout(attempt: StreamAttempt): boolean {
    return (
      attempt.hasPassedChain &&
      !attempt.isMoving &&
      !attempt.isPaused &&
      attempt.request.route.targetPauseMs > 0
    );
  }

  private _getSilenceMs(attempt: StreamAttempt): number {
    return attempt.getSilenceMs(this._structure.nowMs());
  }

  private _getLimitMs(attempt: StreamAttempt): number {
    const { earlyMoves, firstEventSilenceMs, laterEventSilenceMs } = this._structure;
    if (!attempt.hasEvents) return firstEventSilenceMs;
    const { targetPauseMs } = attempt.request.route;
    if (attempt.awaitsRead || targetPauseMs === 0) return laterEventSilenceMs;
    return earlyMoves.pauses.getLimitMs(attempt.service, targetPauseMs);
  }
}
