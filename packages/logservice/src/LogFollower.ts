/** Consumption of a stream of the log: each record is delivered once and in order. */
import { utils } from "@shedtiller/common";
import type { LogRecord, LogService } from "./LogService.js";

const pollWaitMs = 10_000;
const retryMs = 250;

/** Consumer of the records of a stream. */
export interface LogSink {
  /** Processes a record. Records are delivered in the order of their offsets. */
  acceptRecord(record: LogRecord): void;
  /** Called when the records before `oldestOffset` have expired before they were read. */
  skipTo(oldestOffset: number): void;
}

/** Reads a stream by long polling and delivers its records to a sink. `isCaughtUp` and `lastContactMs` show the freshness of the sink. */
export class LogFollower {
  /** Offset of the next record to read. */
  nextOffset = 0;
  /** Monotonic time of the last successful read; undefined before the first. */
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

  /** Resolves once the record at `offset` has been delivered to the sink or skipped. */
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
    this._skipExpired(page.val.oldestOffset);
    for (const record of page.val.records) this._deliver(record);
    if (this.nextOffset >= page.val.nextOffset) this.isCaughtUp = true;
    this._resolveWaiters();
    return true;
  }

  private _skipExpired(oldestOffset: number): void {
    if (oldestOffset <= this.nextOffset) return;
    this._sink.skipTo(oldestOffset);
    this.nextOffset = oldestOffset;
  }

  private _deliver(record: LogRecord): void {
    if (record.offset !== this.nextOffset) return;
    this._sink.acceptRecord(record);
    this.nextOffset += 1;
  }

  private _resolveWaiters(): void {
    for (let index = this._waiters.length - 1; index >= 0; index--) {
      const waiter = this._waiters[index];
      if (waiter === undefined || waiter.offset >= this.nextOffset) continue;
      this._waiters.splice(index, 1);
      waiter.done.resolve();
    }
  }
}
