/** One attempt to run a streamed request at a chain. */
import { utils } from "@shedtiller/common";
import type { ChainReservation } from "../chains/ChainReservation.js";
import type { AnswerBuffer } from "../http/AnswerMemory.js";
import { EndlessAnswerError, type EndlessPart } from "../http/EndlessAnswerError.js";
import { checkFraming } from "../http/framing.js";
import type { HttpAnswer } from "../http/HttpCall.js";
import type { ChainStage } from "../http/MessageCodec.js";
import type { TrackedRun } from "../crashes/TrackedRun.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { CallerRequest } from "./CallerRequest.js";
import { EventSplitter } from "./EventSplitter.js";
import type { StreamProgress } from "./StreamProgress.js";

/** Maximum size of one event. */
export const maxEventBytes = 1024 * 1024;

/** How the stream of an attempt ended. */
export type StreamEnd = "completed" | "broken" | "caller-left";

/**
 * Why it is uncertain whether a run continues: the stream is silent for the maximum time, its first engine does not answer a question, the
 * direct path to that engine is cut, the engine is suspected, or it does not know the request.
 */
export type DoubtCause = "silent" | "engine-unanswered" | "path-cut" | "engine-suspected" | "request-unknown";

/**
 * Why this instance gave up a run: the process of its first engine has restarted, a successor produced the next event, the run was a
 * successor that is not needed, or there is no successor and the caller has received nothing yet.
 */
export type GiveUpCause = "engine-restarted" | "replaced" | "not-needed" | "no-successor";

/** Forwards the complete events of one attempt and reports how it ended. The `StallMonitor` detects stalls and doubts attempts. */
export class StreamAttempt implements TrackedRun {
  /** The endpoint that the request was sent to, as the object of the process life at that time. */
  firstEndpoint: Endpoint | undefined;
  /** Monotonic time of the send, of the last event or the beginning of an event, or of the last move. */
  lastActivityAtMs = utils.monotonicMs();
  /** Monotonic time of the send. */
  sentAtMs = this.lastActivityAtMs;
  /** Ends the attempt. */
  readonly abort = new AbortController();
  /** Why this instance gave up the run; undefined if it did not. */
  givenUpFor: GiveUpCause | undefined;
  /** Whether the answer to the caller comes from this run. A successor leads from its first event on. */
  isLeading = false;
  /** Why the run is in doubt; undefined if it is not. */
  doubt: DoubtCause | undefined;
  /** Monotonic time of the last try to start a successor. */
  triedSuccessorAtMs = Number.NEGATIVE_INFINITY;
  /** Called for each sign that the run may be lost. */
  onDoubt: (() => void) | undefined;
  /** Called before a doubt ends. */
  onCertain: (() => void) | undefined;
  /** Called before events are forwarded. */
  onEvents: (() => void) | undefined;
  /** Time from the send of this attempt to its first event. */
  firstEventMs: number | undefined;
  /** Whether the request was sent over a direct connection. */
  isDirect = true;
  /** Whether this instance does not read the answer, since the caller has not read what was forwarded. */
  isPaused = false;
  /** Whether the stream is being moved to another chain. */
  isMoving = false;
  /** Monotonic time of the last try to move the stream. */
  triedMoveAtMs = Number.NEGATIVE_INFINITY;
  /** Whether the stream was moved since its last event, so that new engines read its tokens. */
  awaitsRead = false;
  /** Called with the time between two reads, unless the stream was moved in between. */
  onPause: ((pauseMs: number) => void) | undefined;
  /** Called with the first event of this attempt. */
  onFirstEvent: (() => void) | undefined;
  /** Whether the answer's headers have arrived, so that the first engine executes the request. */
  hasBegun = false;
  /** The reason for which this instance ended an answer that goes on without an event; undefined if it did not. */
  endless: EndlessAnswerError | undefined;
  private readonly _splitter = new EventSplitter();
  private _bodyBytes = 0;
  private _buffer: AnswerBuffer | undefined;

  constructor(
    readonly request: CallerRequest,
    readonly service: string,
    readonly reservation: ChainReservation,
    readonly progress: StreamProgress,
  ) {
    if (request.signal.aborted) this.abort.abort();
    else request.signal.addEventListener("abort", () => this.abort.abort(), { once: true });
  }

  get firstStage(): ChainStage | undefined {
    return this.reservation.stages[0];
  }

  get endpointId(): string {
    return this.firstStage?.endpointId ?? "";
  }

  get firstEventAtMs(): number | undefined {
    return this.firstEventMs === undefined ? undefined : this.sentAtMs + this.firstEventMs;
  }

  /** Whether this attempt has produced an event. */
  get hasEvents(): boolean {
    return this.firstEventMs !== undefined;
  }

  /** Whether the last event has passed all engines of the chain. */
  get hasPassedChain(): boolean {
    return this.hasEvents && !this.awaitsRead;
  }

  /** Returns for how long the engines have sent nothing; 0 while this instance does not read. */
  getSilenceMs(nowMs: number): number {
    return this.isPaused ? 0 : nowMs - this.lastActivityAtMs;
  }

  /** Records that the request is sent now. */
  noteSent(): void {
    this.sentAtMs = utils.monotonicMs();
    this.lastActivityAtMs = this.sentAtMs;
  }

  /** Records a sign that the run may be lost. It continues, but may be replaced. */
  noteDoubt(cause: DoubtCause): void {
    if (this.abort.signal.aborted || !this.request.isIdempotent) return;
    this.doubt ??= cause;
    this.onDoubt?.();
  }

  /** Records that the stream was moved, so that its new engines read its tokens. */
  noteMoved(nowMs: number): void {
    this.awaitsRead = true;
    this.doubt = undefined;
    this.lastActivityAtMs = nowMs;
  }

  /** Ends the run on the decision of this instance. */
  giveUp(cause: GiveUpCause): void {
    if (this.abort.signal.aborted) return;
    this.givenUpFor = cause;
    this.abort.abort();
  }

  /** Forwards the events of an answer until it ends. */
  relay(answer: HttpAnswer): Promise<StreamEnd> {
    const done = new utils.Deferred<StreamEnd>();
    const { message } = answer;
    this.hasBegun = true;
    this._buffer = answer.memory?.open(() => this._endEndless("buffers", answer.memory?.maxBytes ?? 0));
    const end = (result: StreamEnd): void => {
      done.resolve(this.request.signal.aborted ? "caller-left" : result);
      answer.abort();
    };
    this.abort.signal.addEventListener("abort", () => end("broken"), { once: true });
    if (this.abort.signal.aborted) end("broken");
    message.on("data", (bytes: Buffer) => this._forward(bytes, answer));
    message.on("end", () => {
      void answer
        .isWhole()
        .then((isWhole) => end(isWhole && !this._splitter.hasPartialEvent ? "completed" : "broken"));
    });
    message.on("error", () => end("broken"));
    message.on("close", () => {
      if (!message.complete) end("broken");
    });
    return done.promise.finally(() => this._buffer?.close());
  }

  private _endEndless(part: EndlessPart, maxBytes: number): void {
    this.endless ??= new EndlessAnswerError(this.firstStage?.address ?? "", part, maxBytes);
    this.abort.abort();
  }

  private _forward(bytes: Buffer, answer: HttpAnswer): void {
    if (this.abort.signal.aborted) return;
    this._bodyBytes += bytes.length;
    const hadPartialEvent = this._splitter.hasPartialEvent;
    const events = this._splitter.push(bytes);
    this._buffer?.resize(this._splitter.bufferedBytes);
    if (this._splitter.partialBytes > maxEventBytes) return this._endEndless("event", maxEventBytes);
    const endless = checkFraming(answer, this.firstStage?.address ?? "", this._bodyBytes);
    if (endless !== undefined) return this._endEndless(endless.part, endless.maxBytes);
    // Neither comments nor more and more bytes of one event show that the engine produces anything.
    const isSign = events?.hasFields ?? !hadPartialEvent;
    if (isSign) this._noteActivity();
    if (events === undefined) return;
    this.onEvents?.();
    if (!this.request.isHeadSent) this.request.startStream(answer.status, answer.headers);
    if (this.firstEventMs === undefined) {
      this.reservation.notePromptRead();
      this.firstEventMs = this.lastActivityAtMs - this.sentAtMs;
      this.onFirstEvent?.();
    }
    this.progress.noteEvents(events.lastId, this.request.arrivedAtMs);
    if (this.request.write(events.bytes)) return;
    this.isPaused = true;
    answer.message.pause();
    this.request.onceDrained(() => {
      this.isPaused = false;
      this.lastActivityAtMs = utils.monotonicMs();
      answer.message.resume();
    });
  }

  private _noteActivity(): void {
    const nowMs = utils.monotonicMs();
    if (this.hasPassedChain) this.onPause?.(nowMs - this.lastActivityAtMs);
    if (this.firstEndpoint !== undefined) this.firstEndpoint.heardAtMs = nowMs;
    this.awaitsRead = false;
    if (this.doubt !== undefined) this.onCertain?.();
    this.doubt = undefined;
    this.lastActivityAtMs = nowMs;
  }
}
