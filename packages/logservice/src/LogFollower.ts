/** One task that follows a stream of the log and hands each record on, in order and once. */
import { utils } from "@shedtiller/common";
import type { LogRecord, LogService } from "./LogService.js";

const pollWaitMs = 10_000;
const retryMs = 250;

/** Takes the records of a stream. */
export interface LogSink {
  /** Takes one record. Records come in order of offset. */
  acceptRecord(record: LogRecord): void;
  /** Records before `oldestOffset` aged out before they were read. */
  skipTo(oldestOffset: number): void;
}

/** Follows one stream. `isCaughtUp` and `lastContactMs` tell how fresh what it handed on is. */
export class LogFollower {
  /** The offset that is read next. */
  nextOffset = 0;
  /** Monotonic milliseconds of the last answer of the log; undefined before the first. */
  lastContactMs: number | undefined;
  /** Whether the end of the stream has been reached at least once. */
  isCaughtUp = false;
  private readonly _waiters: { offset: number; done: utils.Deferred<void> }[] = [];

  constructor(
    private readonly _log: LogService,
    private readonly _stream: string,
    private readonly _sink: LogSink,
  ) {}

  /** Follows the stream until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isRead = await this._readOnce(this.isCaughtUp ? pollWaitMs : 0, signal);
      if (!isRead) await utils.sleep(retryMs, signal).catch(() => undefined);
    }
  }

  /** Resolves once the record at `offset` has been handed on. */
  waitFor(offset: number): Promise<void> {
    if (this.nextOffset > offset) return Promise.resolve();
    const done = new utils.Deferred<void>();
    this._waiters.push({ offset, done });
    return done.promise;
  }

  private async _readOnce(waitMs: number, signal: AbortSignal): Promise<boolean> {
    const page = await this._log.read(this._stream, this.nextOffset, waitMs, signal);
    if (page.err || signal.aborted) return false;
    this.lastContactMs = utils.monotonicMs();
    this._skipAgedOut(page.val.oldestOffset);
    for (const record of page.val.records) this._handOn(record);
    if (this.nextOffset >= page.val.nextOffset) this.isCaughtUp = true;
    this._wakeWaiters();
    return true;
  }

  private _skipAgedOut(oldestOffset: number): void {
    if (oldestOffset <= this.nextOffset) return;
    this._sink.skipTo(oldestOffset);
    this.nextOffset = oldestOffset;
  }

  private _handOn(record: LogRecord): void {
    if (record.offset !== this.nextOffset) return;
    this._sink.acceptRecord(record);
    this.nextOffset += 1;
  }

  private _wakeWaiters(): void {
    for (let index = this._waiters.length - 1; index >= 0; index--) {
      const waiter = this._waiters[index];
      if (waiter === undefined || waiter.offset >= this.nextOffset) continue;
      this._waiters.splice(index, 1);
      waiter.done.resolve();
    }
  }
}
