/**
 * Watches running streams for unusual silence, finds the engine at fault, and has streams moved to other engines.
 *
 * A stream keeps its callers' time only where the next event comes within the allowed pause, so the engine at fault is found without the
 * first engine's word on who stands still, which is some hundred milliseconds old: every engine of a silent chain is asked itself, and
 * the one that does not answer is at fault, unless some other stream flows through it.
 */
import { utils } from "@shedtiller/common";
import type { ChainChooser } from "../chains/ChainChooser.js";
import { findNamedEndpoint } from "../chains/findNamedEndpoint.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EngineOrders, EngineReport } from "../orders/EngineOrders.js";
import { EngineQuestions, type EngineAnswer } from "../orders/EngineQuestions.js";
import { getSlowness } from "../orders/getSlowness.js";
import { StreamTimes } from "../work/StreamTimes.js";
import type { ForwardContext } from "./RequestForwarder.js";
import type { StreamAttempt } from "./StreamAttempt.js";
import { StreamMover } from "./StreamMover.js";

/**
 * Looks come together with the other ticks of an instance, which spends most of its time on waking up: at each next silence of a stream
 * they cost a fleet of 64 a tenth more processor time on a calm day. Instances look by turns, so the first of twenty that meets a loss is
 * some 10 ms later for it, and its word wakes the others.
 */
const lookIntervalMs = 200;
/** An engine that has just answered is not asked again for this long; each further answer in a row doubles it. */
const askAgainMs = 300;
const mostAskDoublings = 3;
/** An engine that nobody has asked for this long begins anew. */
const forgetAskedMs = 5_000;
/** After this much silence a stream goes on elsewhere, before its caller leaves at two seconds. */
const giveUpSilenceMs = 1_200;
/** An engine may be lost after it passed the last events on; one that passes events on for this long more than that lives. */
const flowedMarginMs = 20;
/** A look that comes this much later than planned is one of a process that stood still: what has arrived is read first. */
const stoodStillMs = 20;

/** What is known of the questions that an engine was asked. */
interface Asked {
  readonly atMs: number;
  /** Answers in a row. */
  readonly answers: number;
}

/** One task for all streams of this instance. */
export class StallMonitor {
  readonly times = new StreamTimes();
  private readonly _attempts = new Set<StreamAttempt>();
  private readonly _asked = new Map<string, Asked>();
  private readonly _mover: StreamMover;
  private readonly _questions: EngineQuestions;
  /** Whether there is a suspicion that the streams were not looked at again for. */
  private _isSuspicionNew = false;
  /** Ends the wait for the next look. */
  private _wake = new AbortController();

  constructor(
    private readonly _context: ForwardContext,
    chooser: ChainChooser,
    orders: EngineOrders,
    private readonly _nowMs: () => number = utils.monotonicMs,
    private readonly _pause: (durationMs: number, signal?: AbortSignal) => Promise<void> = utils.sleep,
  ) {
    this._mover = new StreamMover(_context, chooser, orders, _nowMs);
    this._questions = new EngineQuestions(orders, _pause, _nowMs);
    _context.endpoints.onChanged((endpoint, event) => {
      if (event === "restarted") void this._leave([endpoint], "restarted");
      // A suspicion, told or found, explains silences before they are unusual by themselves.
      if (event !== "suspected") return;
      this._isSuspicionNew = true;
      this._wake.abort();
    });
  }

  /** Watches a run from now on. */
  add(attempt: StreamAttempt): void {
    attempt.times = this.times;
    this._attempts.add(attempt);
  }

  remove(attempt: StreamAttempt): void {
    this._attempts.delete(attempt);
  }

  /** Streams that run now. */
  get size(): number {
    return this._attempts.size;
  }

  /** Looks at all runs from time to time until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => this._wake.abort(), { once: true });
    while (!signal.aborted) {
      const dueAtMs = this._nowMs() + this._getNextLookMs();
      this._wake = new AbortController();
      await this._pause(dueAtMs - this._nowMs(), this._wake.signal).catch(() => undefined);
      if (this._nowMs() - dueAtMs > stoodStillMs) await this._readArrived();
      if (!signal.aborted) this.check().catch((error: unknown) => this._noteFailed(error));
    }
  }

  /** Looks at all runs once; resolves when what the look led to is done. */
  async check(): Promise<void> {
    const nowMs = this._nowMs();
    const silent = [...this._attempts].filter((attempt) => this._isSilent(attempt, nowMs));
    const lasting = silent.filter((attempt) => !this._giveUpIfLong(attempt, nowMs));
    const { moves, unexplained } = this._sort(lasting, nowMs);
    await Promise.all([...moves, this._askChains(unexplained, nowMs)]);
  }

  /**
   * Time until the next look: the next tick, or, once after a suspicion, the moment at which all streams that pass a suspect would have
   * been silent for too long.
   */
  private _getNextLookMs(): number {
    const nowMs = this._nowMs();
    const tickMs = utils.getTimeToTick(lookIntervalMs, nowMs);
    if (!this._isSuspicionNew) return tickMs;
    const lefts = [...this._attempts].map((attempt) => this._getLeftMs(attempt, nowMs));
    const leftMs = Math.max(0, ...lefts);
    this._isSuspicionNew = leftMs >= tickMs;
    return leftMs > 0 ? Math.min(tickMs, leftMs) : tickMs;
  }

  /** Time until a stream that passes a suspect is silent for too long; 0 for the others. */
  private _getLeftMs(attempt: StreamAttempt, nowMs: number): number {
    const suspects = this._getSuspects(attempt, nowMs);
    if (suspects.length === 0) return 0;
    return this._getAllowedSilenceMs(attempt, suspects) - (nowMs - attempt.lastSignAtMs);
  }

  private async _readArrived(): Promise<void> {
    await utils.yieldToEvents();
    await utils.yieldToEvents();
  }

  /**
   * With an engine under suspicion a silence as long as the longest usual one is enough; without, it has to be an unusual one. A chain
   * steps as slowly as its slowest engine says, and asking it again tells nothing new.
   */
  private _getAllowedSilenceMs(attempt: StreamAttempt, suspects: readonly string[]): number {
    const { service, request, usualPauseMs } = attempt;
    if (!attempt.hasEvents) return this.times.getUnusualFirstEventMs(service, request.route);
    const usualMs = this.times.getUsualPauseMs(service);
    if (suspects.length > 0 && usualMs !== undefined) return Math.max(usualMs, usualPauseMs);
    const unusualMs = this.times.getUnusualPauseMs(service, request.route, usualPauseMs);
    return Math.min(giveUpSilenceMs, unusualMs * this._getSlowness(attempt));
  }

  private _getSlowness({ reservation }: StreamAttempt): number {
    const { endpoints } = this._context;
    return Math.max(1, ...reservation.stages.map((stage) => endpoints.get(stage.endpointId)?.slowness ?? 1));
  }

  private _isSilent(attempt: StreamAttempt, nowMs: number): boolean {
    if (attempt.isMoving || attempt.firstStage === undefined) return false;
    const silenceMs = nowMs - attempt.lastSignAtMs;
    // No silence is unusual below the usual longest one, whatever is suspected: most streams need no closer look.
    if (attempt.hasEvents && silenceMs < (this.times.getUsualPauseMs(attempt.service) ?? 0)) return false;
    return silenceMs >= this._getAllowedSilenceMs(attempt, this._getSuspects(attempt, nowMs));
  }

  private _giveUpIfLong(attempt: StreamAttempt, nowMs: number): boolean {
    if (nowMs - attempt.lastSignAtMs < giveUpSilenceMs || !attempt.request.isIdempotent) return false;
    attempt.abort.abort();
    return true;
  }

  /** Streams whose chain has an engine under suspicion leave it; the engines of the others are asked. */
  private _sort(
    silent: readonly StreamAttempt[],
    nowMs: number,
  ): { moves: Promise<void>[]; unexplained: StreamAttempt[] } {
    const moves: Promise<void>[] = [];
    const unexplained: StreamAttempt[] = [];
    for (const attempt of silent) {
      const suspects = this._getSuspects(attempt, nowMs);
      if (suspects.length === 0) unexplained.push(attempt);
      else if (attempt.mayMove(nowMs)) moves.push(this._mover.move(attempt, suspects));
    }
    return { moves, unexplained };
  }

  /** Addresses of a stream's engines that are under suspicion. */
  private _getSuspects({ reservation }: StreamAttempt, nowMs: number): string[] {
    const { endpoints } = this._context;
    return reservation.stages
      .filter((stage) => endpoints.get(stage.endpointId)?.isSuspect(nowMs) === true)
      .map((stage) => stage.address);
  }

  private async _askChains(silent: readonly StreamAttempt[], nowMs: number): Promise<void> {
    const ids = new Set(
      silent.flatMap(({ reservation }) => reservation.stages.map((stage) => stage.endpointId)),
    );
    const due = [...ids].filter((id) => this._isAskDue(id, nowMs));
    const firsts = new Set(silent.map((attempt) => attempt.firstStage?.endpointId));
    const sinceMs = Math.min(...silent.map((attempt) => attempt.lastSignAtMs));
    // An engine that another stream has flowed through since lives; a first one is asked for whom it waits all the same.
    const engines = due
      .flatMap((id) => this._context.endpoints.get(id) ?? [])
      .filter((engine) => firsts.has(engine.id) || !this._hasFlowed(engine, sinceMs + flowedMarginMs));
    for (const { id } of engines)
      this._asked.set(id, { atMs: nowMs, answers: this._countAnswers(id, nowMs) });
    const answers = await Promise.all(engines.map((engine) => this._questions.ask(engine)));
    const isLost = (_engine: Endpoint, index: number): boolean => answers[index]?.kind === "silent";
    const lost = engines.filter(isLost).filter((engine) => !this._hasFlowed(engine, nowMs));
    for (const engine of lost)
      this._context.suspicions.noteSilent(engine.id, "silent: no answer in a silent chain");
    const reports = engines.map((engine, index) => this._takeAnswer(engine, answers[index]));
    await Promise.all([this._leave(lost, "silent"), ...reports]);
  }

  private _isAskDue(id: string, nowMs: number): boolean {
    const asked = this._asked.get(id);
    if (asked === undefined) return true;
    const waitMs = askAgainMs * 2 ** Math.min(asked.answers, mostAskDoublings);
    return nowMs - asked.atMs >= waitMs;
  }

  private _countAnswers(id: string, nowMs: number): number {
    const asked = this._asked.get(id);
    return asked === undefined || nowMs - asked.atMs > forgetAskedMs ? 0 : asked.answers;
  }

  /** Whether some stream through an engine has given a sign since. */
  private _hasFlowed(engine: Endpoint, sinceMs: number): boolean {
    return this._getPassing([engine]).some((attempt) => attempt.hasEvents && attempt.lastEventAtMs > sinceMs);
  }

  private async _takeAnswer(engine: Endpoint, answer: EngineAnswer | undefined): Promise<void> {
    if (answer?.kind !== "alive") return;
    const asked = this._asked.get(engine.id);
    if (asked !== undefined) this._asked.set(engine.id, { ...asked, answers: asked.answers + 1 });
    engine.slowness = getSlowness(answer.report);
    await this._moveStalled(engine.id, answer.report);
  }

  /** Engines may be cut off from their neighbours and yet answer here; the first engine of a chain then says whom it waits for. */
  private async _moveStalled(firstId: string, report: EngineReport): Promise<void> {
    const addresses = new Map(report.stalled.map((entry) => [entry.requestId, entry.address]));
    const stalled = [...this._attempts].filter((attempt) => {
      const address = addresses.get(attempt.request.id);
      if (address === undefined || attempt.firstStage?.endpointId !== firstId || attempt.isMoving)
        return false;
      return attempt.reservation.stages.some((stage) => stage.address === address);
    });
    for (const address of new Set(addresses.values())) this._suspectAddress(address, stalled);
    await Promise.all(
      stalled.map((attempt) => this._mover.move(attempt, [addresses.get(attempt.request.id) ?? ""])),
    );
  }

  private _suspectAddress(address: string, stalled: readonly StreamAttempt[]): void {
    const stages = stalled.flatMap(({ reservation }) => reservation.stages);
    const endpoint = findNamedEndpoint(this._context.endpoints, stages, address);
    if (endpoint !== undefined) void this._context.suspicions.noteNamed(endpoint.id, "stalled chain");
  }

  /**
   * Whatever passes engines that are lost stands still, also where it is not silent for long yet. Streams that only pass them are moved,
   * those that began there go on elsewhere. One that may not be repeated ends only where it is sure that nothing comes any more.
   */
  private async _leave(engines: readonly Endpoint[], evidence: "silent" | "restarted"): Promise<void> {
    const addresses = engines.map((engine) => engine.listed.address);
    const ids = new Set(engines.map((engine) => engine.id));
    const passing = this._getPassing(engines);
    const begun = passing.filter((attempt) => ids.has(attempt.firstStage?.endpointId ?? ""));
    for (const attempt of begun) {
      if (attempt.request.isIdempotent || evidence === "restarted") attempt.abort.abort();
    }
    const others = passing.filter((attempt) => !begun.includes(attempt));
    await Promise.all(others.map((attempt) => this._mover.move(attempt, addresses)));
  }

  private _getPassing(engines: readonly Endpoint[]): StreamAttempt[] {
    const ids = new Set(engines.map((engine) => engine.id));
    return [...this._attempts].filter(({ reservation }) =>
      reservation.stages.some((stage) => ids.has(stage.endpointId)),
    );
  }

  private _noteFailed(error: unknown): void {
    this._context.log.error("stall-check-failed", { cause: String(error) });
  }
}
