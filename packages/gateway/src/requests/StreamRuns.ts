/** The runs of one stream, and the replacement of a run that is in doubt. */
import { utils } from "@shedtiller/common";
import type { ChainReservation } from "../chains/ChainReservation.js";
import type { StreamAttempt } from "./StreamAttempt.js";

/**
 * How a run ended. `again` means that nothing was sent: while the request waited for capacity, its first engine disappeared or the request
 * was quarantined.
 */
export type RunEnd = "answered" | "again" | "not-run" | "lost" | "caller-left";

/** Dependencies of {@link StreamRuns}. */
export interface StreamRunsStructure {
  /** Sends a run, and resolves with its end. */
  readonly send: (attempt: StreamAttempt) => Promise<RunEnd>;
  /**
   * Reserves a chain for the successor of a run in doubt; resolves with undefined if the run can't have one now, and with `give-up` if its
   * caller had better go elsewhere. `signal` aborts once the run is no longer in doubt or has ended.
   */
  readonly reserve: (
    doubted: StreamAttempt,
    signal: AbortSignal,
  ) => Promise<ChainReservation | "give-up" | undefined>;
  /** Withdraws the retry and creates the successor; undefined if the retry budget is exhausted. */
  readonly begin: (doubted: StreamAttempt, reservation: ChainReservation) => StreamAttempt | undefined;
  /** Returns a reservation that is not used. */
  readonly discard: (reservation: ChainReservation) => void;
  /** Called when a successor produces the next event; `others` have been given up. */
  readonly onReplaced: (successor: StreamAttempt, others: readonly StreamAttempt[]) => void;
  /** Called before the doubt of a run ends. */
  readonly onRecovered: (attempt: StreamAttempt) => void;
}

/**
 * Runs one stream. A run in doubt continues while its successor starts, and the first of them that produces an event goes on alone. So a
 * doubt never ends a run that may still end well, and the events of a stream come from one run at a time.
 */
export class StreamRuns {
  /** The runs that may still produce an event, the newest last. */
  private readonly _runs = new Set<StreamAttempt>();
  private readonly _end = new utils.Deferred<RunEnd>();
  private _isOver = false;
  /** Cancels the reservation for a successor; undefined while there is none. */
  private _reserving: AbortController | undefined;

  constructor(private readonly _structure: StreamRunsStructure) {}

  /** Sends a run, and successors while it is in doubt; resolves with the end of the last run. */
  run(first: StreamAttempt): Promise<RunEnd> {
    first.isLeading = true;
    this._start(first);
    return this._end.promise;
  }

  private _start(attempt: StreamAttempt): void {
    this._runs.add(attempt);
    attempt.onEvents = () => this._goOnAlone(attempt);
    attempt.onDoubt = () => void this._replace(attempt);
    attempt.onCertain = () => this._noteRecovered(attempt);
    this._structure.send(attempt).then(
      (end) => this._noteEnd(attempt, end),
      (error: unknown) => this._fail(error),
    );
  }

  private _noteEnd(attempt: StreamAttempt, end: RunEnd): void {
    this._runs.delete(attempt);
    if (this._isOver) return;
    const isFinal = end === "answered" || end === "caller-left";
    if (isFinal) this._goOnAlone(attempt);
    const [next] = this._runs;
    if (isFinal || next === undefined) return this._finish(end);
    if (attempt.isLeading) next.isLeading = true;
  }

  private _finish(end: RunEnd): void {
    this._isOver = true;
    this._reserving?.abort();
    this._end.resolve(end);
  }

  private _fail(error: unknown): void {
    this._isOver = true;
    this._reserving?.abort();
    this._giveUp();
    this._end.reject(error);
  }

  private _giveUp(): void {
    for (const run of this._runs) run.giveUp("no-successor");
  }

  /** Ends all other runs, since this one has produced an event or the whole answer. */
  private _goOnAlone(winner: StreamAttempt): void {
    this._reserving?.abort();
    // Nearly all events come from the only run of their stream.
    if (winner.isLeading && this._runs.size === 1 && this._runs.has(winner)) return;
    const others = [...this._runs].filter((run) => run !== winner);
    for (const other of others) other.giveUp(other.isLeading ? "replaced" : "not-needed");
    if (!winner.isLeading && others.length > 0) this._structure.onReplaced(winner, others);
    for (const other of others) other.isLeading = false;
    winner.isLeading = true;
  }

  private _noteRecovered(attempt: StreamAttempt): void {
    this._reserving?.abort();
    this._structure.onRecovered(attempt);
  }

  private async _replace(doubted: StreamAttempt): Promise<void> {
    const newest = [...this._runs].at(-1);
    if (this._isOver || this._reserving !== undefined || doubted !== newest) return;
    const reserving = new AbortController();
    this._reserving = reserving;
    const { signal } = reserving;
    const reservation = await this._structure.reserve(doubted, signal).catch((error: unknown) => {
      this._fail(error);
      return undefined;
    });
    this._reserving = undefined;
    if (reservation === undefined) return;
    if (reservation === "give-up") return this._giveUp();
    const isNeeded = !signal.aborted && !this._isOver && doubted.doubt !== undefined;
    if (!isNeeded) return this._structure.discard(reservation);
    const successor = this._structure.begin(doubted, reservation);
    if (successor === undefined) this._structure.discard(reservation);
    else this._start(successor);
  }
}
