/** One run of a streamed request at a chain: passes whole events on and tells how it ended. */
import { utils } from "@shedtiller/common";
import type { ChainReservation } from "../chains/ChainReservation.js";
import type { HttpAnswer } from "../http/HttpCall.js";
import type { ChainStage } from "../http/MessageCodec.js";
import type { TrackedRun } from "../crashes/CrashDetector.js";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { CallerRequest } from "./CallerRequest.js";
import { EventSplitter } from "./EventSplitter.js";
import type { StreamProgress } from "./StreamProgress.js";

/** How a run ended. */
export type StreamEnd = "completed" | "broken" | "caller-left";

/** One run. Its silence is watched from outside. */
export class StreamAttempt implements TrackedRun {
  /** The engine that it was sent to, in the life that it had then. */
  firstEndpoint: Endpoint | undefined;
  /** Monotonic time of the sending, or of the last event. */
  lastActivityAtMs = utils.monotonicMs();
  /** Monotonic time of the sending. */
  sentAtMs = this.lastActivityAtMs;
  /** Ends the run; the stream may go on elsewhere. */
  readonly abort = new AbortController();
  /** From the sending of this run to its first event. */
  firstEventMs: number | undefined;
  /** Whether the head of an answer came: the first engine runs it. */
  hasBegun = false;
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

  get endpointId(): string {
    return this.firstStage?.endpointId ?? "";
  }

  get firstEventAtMs(): number | undefined {
    return this.firstEventMs === undefined ? undefined : this.sentAtMs + this.firstEventMs;
  }

  /** Whether this run has given an event yet. */
  get hasEvents(): boolean {
    return this.firstEventMs !== undefined;
  }

  /** Notes that the run is sent now. */
  noteSent(): void {
    this.sentAtMs = utils.monotonicMs();
    this.lastActivityAtMs = this.sentAtMs;
  }

  /** Passes the events of an answer on until it ends. */
  relay(answer: HttpAnswer): Promise<StreamEnd> {
    const done = new utils.Deferred<StreamEnd>();
    const { message } = answer;
    this.hasBegun = true;
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
        .then((isWhole) => end(isWhole && !this._splitter.hasPartialEvent ? "completed" : "broken"));
    });
    message.on("error", () => end("broken"));
    message.on("close", () => {
      if (!message.complete) end("broken");
    });
    return done.promise;
  }

  private _pass(bytes: Buffer, answer: HttpAnswer): void {
    if (this.abort.signal.aborted) return;
    this.lastActivityAtMs = utils.monotonicMs();
    const whole = this._splitter.push(bytes);
    if (whole === undefined) return;
    this.firstEventMs ??= this.lastActivityAtMs - this.sentAtMs;
    this.progress.noteEvents(whole.lastId, this.request.arrivedAtMs);
    if (this.request.write(whole.bytes)) return;
    answer.message.pause();
    this.request.onceDrained(() => answer.message.resume());
  }
}
