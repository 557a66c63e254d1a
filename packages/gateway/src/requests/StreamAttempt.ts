/** One run of a streamed request at a chain: passes whole events on and tells how it ended. */
import { utils } from "@shedtiller/common";
import type { ChainReservation } from "../chains/ChainReservation.js";
import type { HttpAnswer } from "../http/HttpCall.js";
import type { ChainStage } from "../http/MessageCodec.js";
import type { CallerRequest } from "./CallerRequest.js";
import { EventSplitter } from "./EventSplitter.js";
import type { StreamTimes } from "../work/StreamTimes.js";
import type { StreamProgress } from "./StreamProgress.js";

/** What is left of a pause's weight after each further sign: halved after some fourteen, a few hundred milliseconds of a stream. */
const pauseDecay = 0.95;
/** After a search for another chain the next one waits for this long: room comes free by tens of milliseconds. */
const moveAgainMs = 100;

/** How a run ended. */
export type StreamEnd = "completed" | "broken" | "caller-left";

/** One run. Its silence is watched from outside. */
export class StreamAttempt {
  /** Monotonic time of the sending, or of the last event. */
  lastSignAtMs = utils.monotonicMs();
  /** Monotonic time of the sending. */
  sentAtMs = this.lastSignAtMs;
  /** Ends the run; the stream may go on elsewhere. */
  readonly abort = new AbortController();
  /** From the sending of this run to its first event. */
  firstEventMs: number | undefined;
  /** Monotonic time of the last event. */
  lastEventAtMs = Number.NEGATIVE_INFINITY;
  /** The longest pause between signs of late: an older one counts less with each sign. */
  usualPauseMs = 0;
  /** Where times are noted; set by who watches the run. */
  times: StreamTimes | undefined;
  /** Whether it is being moved to another chain. */
  isMoving = false;
  private _movedAtMs = Number.NEGATIVE_INFINITY;
  private readonly _splitter = new EventSplitter();

  constructor(
    readonly request: CallerRequest,
    readonly service: string,
    readonly reservation: ChainReservation,
    readonly progress: StreamProgress,
  ) {
    request.signal.addEventListener("abort", () => this.abort.abort(), { once: true });
  }

  get firstStage(): ChainStage | undefined {
    return this.reservation.stages[0];
  }

  /** Whether this run has given an event yet. */
  get hasEvents(): boolean {
    return this.firstEventMs !== undefined;
  }

  /** Notes that the run is sent now. */
  noteSent(): void {
    this.sentAtMs = utils.monotonicMs();
    this.lastSignAtMs = this.sentAtMs;
  }

  /** Passes the events of an answer on until it ends. */
  relay(answer: HttpAnswer): Promise<StreamEnd> {
    const done = new utils.Deferred<StreamEnd>();
    const { message } = answer;
    const end = (how: StreamEnd): void => {
      done.resolve(this.request.signal.aborted ? "caller-left" : how);
      answer.abort();
    };
    this.abort.signal.addEventListener("abort", () => end("broken"), { once: true });
    if (this.abort.signal.aborted) end("broken");
    message.on("data", (bytes: Buffer) => this._pass(bytes, answer));
    message.on("end", () => {
      void answer
        .isWhole()
        .then((isWhole) => end(isWhole && !this._splitter.hasRest ? "completed" : "broken"));
    });
    message.on("error", () => end("broken"));
    message.on("close", () => {
      if (!message.complete) end("broken");
    });
    return done.promise;
  }

  /** Whether another chain may be looked for now; a search in vain is not repeated at once. */
  mayMove(nowMs: number): boolean {
    if (this.isMoving || nowMs - this._movedAtMs < moveAgainMs) return false;
    this._movedAtMs = nowMs;
    return true;
  }

  /** Notes that something came, be it part of an event. */
  noteSign(nowMs: number): void {
    const pauseMs = nowMs - this.lastSignAtMs;
    this.lastSignAtMs = nowMs;
    if (!this.hasEvents) return;
    this.usualPauseMs = Math.max(pauseMs, this.usualPauseMs * pauseDecay);
    this.times?.notePause(this.service, pauseMs);
  }

  /** Notes that a whole event came. */
  noteEvent(nowMs: number): void {
    this.lastEventAtMs = nowMs;
    if (this.firstEventMs !== undefined) return;
    this.firstEventMs = nowMs - this.sentAtMs;
    this.times?.noteFirstEvent(this.service, this.firstEventMs);
  }

  private _pass(bytes: Buffer, answer: HttpAnswer): void {
    if (this.abort.signal.aborted) return;
    const nowMs = utils.monotonicMs();
    this.noteSign(nowMs);
    const whole = this._splitter.push(bytes);
    if (whole === undefined) return;
    this.noteEvent(nowMs);
    this.progress.noteEvents(whole.lastId, this.request.arrivedAtMs);
    if (this.request.write(whole.bytes)) return;
    answer.message.pause();
    this.request.onceDrained(() => answer.message.resume());
  }
}
