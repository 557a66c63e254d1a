/** Stall detection for running streams. */
import { utils } from "@shedtiller/common";
import type { ChainChooser } from "../chains/ChainChooser.js";
import { findNamedEndpoint } from "../chains/findNamedEndpoint.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import { EndpointQuestions } from "../discovery/EndpointQuestions.js";
import { HeldUpError } from "../discovery/HeldUpError.js";
import { getEvidence } from "../discovery/SuspicionEvidence.js";
import type { EngineOrders, EngineReport } from "../orders/EngineOrders.js";
import { getSlowness } from "../orders/getSlowness.js";
import { DrainWatch } from "./moves/DrainWatch.js";
import type { MoveCause } from "./moves/EarlyMoves.js";
import { EarlyMoveWatch } from "./moves/EarlyMoveWatch.js";
import { StreamMover } from "./moves/StreamMover.js";
import type { ForwardContext } from "./RequestForwarder.js";
import type { DoubtCause, StreamAttempt } from "./StreamAttempt.js";
import { SuccessorGate } from "./SuccessorGate.js";

/**
 * On average, half of this interval is added to the silence limits below. The other periodic tasks of an instance have the same interval,
 * so `utils.repeat` runs them at the same moments; an idle instance spends most of its CPU time on wake-ups.
 */
const checkIntervalMs = 200;
/** Silence before the first event after which the engine is queried; most first events arrive within 300 ms under normal load. */
const firstEventSilenceMs = 450;
/** Silence between events after which the engine is queried; a pause usually takes less than 100 ms, and one above 200 ms is late. */
const laterEventSilenceMs = 300;
/** Minimum time between two queries of an engine. Its report is about 200 ms old, so an earlier query returns nothing new. */
const reportIntervalMs = 300;
/**
 * Timeout of a query; an engine that does not report within this time counts as unresponsive. The time for which this process was held up is
 * left out.
 */
const reportTimeoutMs = 400;
/** Silence after which a resumable stream may have a successor; callers abandon a stream that is silent for two seconds. */
export const maxSilenceMs = 1_200;

/**
 * Detects stalled streams, queries their first engines for the engine at fault, and moves the streams to other engines. Where that does not
 * help, it marks their runs as doubtful, so that successors start. Each instance has one monitor for all of its streams.
 */
export class StallMonitor {
  private readonly _attempts = new Set<StreamAttempt>();
  /** Decides whether runs in doubt may have successors now. */
  readonly successorGate: SuccessorGate;
  /** Monotonic time of the last query, by the id of the endpoint. */
  private readonly _queriedAtMs = new Map<string, number>();
  private readonly _questions: EndpointQuestions;
  private readonly _mover: StreamMover;
  /** Undefined if early moves are switched off. */
  private readonly _watch: EarlyMoveWatch | undefined;
  /** Undefined as well if it is not known for how long a draining engine serves. */
  private readonly _drainWatch: DrainWatch | undefined;

  /**
   * @param _nowMs - Monotonic clock, replaced in tests.
   * @param random - Returns a random number from 0 to 1, replaced in tests.
   */
  constructor(
    private readonly _context: ForwardContext,
    chooser: ChainChooser,
    private readonly _orders: EngineOrders,
    private readonly _nowMs: () => number = utils.monotonicMs,
    random: () => number = Math.random,
  ) {
    this.successorGate = new SuccessorGate(_context.endpoints);
    this._questions = new EndpointQuestions({ nowMs: _nowMs });
    this._mover = new StreamMover({ context: _context, chooser, orders: _orders, nowMs: _nowMs, random });
    this._watch = this._createWatch(random);
    this._drainWatch = this._createDrainWatch();
    _context.endpoints.onChanged((endpoint, event) => {
      if (event === "restarted") void this._handleRestart(endpoint);
    });
  }

  /** Lets the runs in doubt try again to start successors. */
  renewDoubts(): void {
    for (const attempt of this._attempts) if (attempt.doubt !== undefined) attempt.noteDoubt(attempt.doubt);
  }

  /** Starts to monitor an attempt. */
  add(attempt: StreamAttempt): void {
    this._attempts.add(attempt);
    const { earlyMoves } = this._context.controls;
    if (earlyMoves !== undefined)
      attempt.onPause = (pauseMs) => earlyMoves.pauses.add(attempt.service, pauseMs);
  }

  remove(attempt: StreamAttempt): void {
    this._attempts.delete(attempt);
  }

  /** Number of running streams. */
  get size(): number {
    return this._attempts.size;
  }

  /** Checks all streams periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const pauses = new utils.PauseDetector(checkIntervalMs, this._nowMs);
    await utils.repeat(
      checkIntervalMs,
      signal,
      () => {
        this.noteSuspension(pauses.noteTick());
        void this.check();
        this._scheduleLook(signal, pauses);
      },
      (error) => {
        this._context.log.error("stall-check-failed", { cause: String(error) });
      },
    );
  }

  /**
   * Subtracts a suspension of this process from the silence of all streams. The streams were not necessarily silent, since bytes that
   * arrived during the suspension are still unread.
   */
  noteSuspension(pauseMs: number): void {
    for (const attempt of this._attempts) attempt.lastActivityAtMs += pauseMs;
  }

  /** Checks all streams once; resolves when the resulting queries and moves are complete. */
  async check(): Promise<void> {
    const nowMs = this._nowMs();
    const firstEndpointIds = new Set<string>();
    for (const attempt of this._attempts) {
      const silenceMs = attempt.getSilenceMs(nowMs);
      if (silenceMs >= maxSilenceMs) attempt.noteDoubt("silent");
      if (silenceMs >= getAllowedSilenceMs(attempt) && attempt.firstStage !== undefined) {
        firstEndpointIds.add(attempt.firstStage.endpointId);
      }
    }
    const isDue = (id: string): boolean =>
      nowMs - (this._queriedAtMs.get(id) ?? Number.NEGATIVE_INFINITY) >= reportIntervalMs;
    const dueIds = [...firstEndpointIds].filter(isDue);
    for (const id of dueIds) this._queriedAtMs.set(id, nowMs);
    await Promise.all([
      this._watch?.look(),
      this._drainWatch?.check(),
      ...dueIds.map((id) => this._queryEngine(id)),
    ]);
  }

  private _createWatch(random: () => number): EarlyMoveWatch | undefined {
    const { earlyMoves } = this._context.controls;
    if (earlyMoves === undefined) return undefined;
    return new EarlyMoveWatch({
      context: this._context,
      earlyMoves,
      mover: this._mover,
      orders: this._orders,
      attempts: this._attempts,
      firstEventSilenceMs,
      laterEventSilenceMs,
      nowMs: this._nowMs,
      random,
    });
  }

  private _createDrainWatch(): DrainWatch | undefined {
    const drainMs = this._context.controls.earlyMoves?.drainMs;
    if (drainMs === undefined) return undefined;
    return new DrainWatch({
      context: this._context,
      mover: this._mover,
      attempts: this._attempts,
      drainMs,
      checkIntervalMs,
      nowMs: this._nowMs,
    });
  }

  /** Adds a look before the next check if a stream is silent now. */
  private _scheduleLook(signal: AbortSignal, pauses: utils.PauseDetector): void {
    const waitMs = this._watch?.getNextLookMs();
    if (waitMs === undefined || waitMs >= checkIntervalMs) return;
    const look = (): void => {
      if (!signal.aborted && pauses.getRecentPauseMs() === 0) void this._watch?.look();
    };
    setTimeout(look, waitMs).unref();
  }

  /**
   * Handles the restart of an engine's process, which loses all requests that used it. Moves the streams that had the engine as a later
   * stage, and aborts those that had it as their first, since they receive nothing more.
   * @param before - The endpoint before the restart.
   */
  private async _handleRestart(before: Endpoint): Promise<void> {
    const { id, listed } = before;
    const affected = [...this._attempts].filter(({ reservation }) =>
      reservation.stages.some((stage) => stage.endpointId === id),
    );
    for (const attempt of affected) void this._context.crashes.noteLost(attempt, before);
    const begunThere = affected.filter((attempt) => attempt.firstStage?.endpointId === id);
    for (const attempt of begunThere) attempt.giveUp("engine-restarted");
    const others = affected.filter((attempt) => !begunThere.includes(attempt));
    await Promise.all(others.map((attempt) => this._move(attempt, listed.address, "lost")));
  }

  /** Queries a first engine for its stalled requests and moves them, or doubts its silent streams if it does not respond. */
  private async _queryEngine(endpointId: string): Promise<void> {
    const endpoint = this._context.endpoints.get(endpointId);
    if (endpoint === undefined) return this._doubtSilentStreams(endpointId, "engine-unanswered");
    const queriedAtMs = this._nowMs();
    const report = await this._questions.ask(reportTimeoutMs, (limitMs) =>
      this._orders.getReport(endpoint.orderTarget, limitMs),
    );
    if (report.err) {
      if (report.val instanceof HeldUpError) return this._noteUnknown(endpointId, report.val.heldUpMs);
      this._context.failureDetector.noteUnresponsive(
        endpointId,
        `no report: ${report.val.code}`,
        getEvidence(report.val),
        queriedAtMs,
      );
      return this._doubtSilentStreams(endpointId, "engine-unanswered");
    }
    endpoint.slowness = getSlowness(report.val);
    const isPathCut = this._context.paths.getFailure(endpoint.listed.address) === "unanswered";
    if (isPathCut) this._doubtSilentStreams(endpointId, "path-cut", (attempt) => attempt.isDirect);
    await this._moveStalled(endpointId, report.val);
  }

  /** Records a query without a result; the next check repeats it. */
  private _noteUnknown(endpointId: string, heldUpMs: number): void {
    this._context.controls.earlyMoves?.noteQuestion("unknown");
    this._context.log.info("engine-query-held-up", { endpointId, heldUpMs: Math.round(heldUpMs) });
  }

  /**
   * Doubts the silent streams that began at an unresponsive engine, or at one to which the direct path is lost, so that their successors
   * start over other connections.
   */
  private _doubtSilentStreams(
    endpointId: string,
    cause: DoubtCause,
    isAffected: (attempt: StreamAttempt) => boolean = () => true,
  ): void {
    const nowMs = this._nowMs();
    for (const attempt of this._attempts) {
      if (attempt.firstStage?.endpointId !== endpointId || !isAffected(attempt)) continue;
      if (attempt.getSilenceMs(nowMs) >= laterEventSilenceMs) attempt.noteDoubt(cause);
    }
  }

  private async _moveStalled(firstId: string, report: EngineReport): Promise<void> {
    const addresses = new Map(report.stalled.map((entry) => [entry.requestId, entry.address]));
    const moves: Promise<void>[] = [];
    for (const address of new Set(addresses.values())) {
      this._suspectAddress(address);
    }
    for (const attempt of this._attempts) {
      const address = addresses.get(attempt.request.id);
      if (address === undefined || attempt.firstStage?.endpointId !== firstId) continue;
      if (attempt.reservation.stages.some((stage) => stage.address === address))
        moves.push(this._move(attempt, address, "silent"));
    }
    await Promise.all(moves);
  }

  private _move(attempt: StreamAttempt, faultyAddress: string, cause: MoveCause): Promise<void> {
    return this._mover.move(attempt, { faultyAddresses: [faultyAddress], cause });
  }

  private _suspectAddress(address: string): void {
    const stages = [...this._attempts].flatMap(({ reservation }) => reservation.stages);
    const endpoint = findNamedEndpoint(this._context.endpoints, stages, address);
    if (endpoint !== undefined)
      void this._context.failureDetector.noteReportedFaulty(endpoint.id, "stalled chain");
  }
}

/** Returns the silence after which the first engine of the attempt is queried. */
function getAllowedSilenceMs(attempt: StreamAttempt): number {
  return attempt.hasEvents ? laterEventSilenceMs : firstEventSilenceMs;
}
