/** Stand-in for the log service of the platform, with a limited append rate, retention, outages and lost replies. */
import { utils } from "@shedtiller/common";
import type { LogPage, LogRecord } from "@shedtiller/logservice";
import type * as restify from "restify";
import { HttpStandIn } from "../HttpStandIn.js";

const createdStatus = 201;
const badRequestStatus = 400;
const tooManyStatus = 429;
const unavailableStatus = 503;
const recordsPerPage = 2_000;
const maxWaitMs = 30_000;

/** Options of {@link StandInLog}. */
export interface StandInLogOptions {
  readonly appendsPerSecond?: number;
  readonly retentionMs?: number;
  /** Duration of each append. */
  readonly appendMs?: number;
}

interface Stream {
  readonly records: LogRecord[];
  firstOffset: number;
  waiters: utils.Deferred<void>[];
}

/** Serves the log on loopback. A token bucket limits the rate of appends. */
export class StandInLog extends HttpStandIn {
  /** Number of appends that took effect, over all streams. */
  appendCount = 0;
  /** Total size in bytes of the payloads that were appended. */
  appendedBytes = 0;
  isDown = false;
  appendMs: number;
  private _repliesToLose = 0;
  private _bucketTokens: number;
  private _bucketRefilledAtMs = utils.monotonicMs();
  private readonly _appendsPerSecond: number;
  private readonly _retentionMs: number;
  private readonly _streams = new Map<string, Stream>();

  constructor(options: StandInLogOptions = {}) {
    super("log");
    this._appendsPerSecond = options.appendsPerSecond ?? 100;
    this._retentionMs = options.retentionMs ?? Number.POSITIVE_INFINITY;
    this.appendMs = options.appendMs ?? 1;
    this._bucketTokens = this._appendsPerSecond;
    this.server.post(
      "/streams/:stream/records",
      async (request: restify.Request, response: restify.Response) => {
        await this._append(request, response);
      },
    );
    this.server.get(
      "/streams/:stream/records",
      async (request: restify.Request, response: restify.Response) => {
        await this._read(request, response);
      },
    );
  }

  /** Drops the reply to the next append, which still takes effect. */
  loseNextReply(): void {
    this._repliesToLose += 1;
  }

  /** Appends a record directly, as an operator's tool would have done before the start of the fleet. */
  seed(stream: string, id: string, payload: unknown): void {
    this._add(this._getStream(stream), id, payload);
  }

  override async close(): Promise<void> {
    for (const stream of this._streams.values()) resolveWaiters(stream);
    await super.close();
  }

  getRecords(stream: string): readonly LogRecord[] {
    return this._getStream(stream).records;
  }

  private async _append(request: restify.Request, response: restify.Response): Promise<void> {
    const body = request.body as { id?: unknown; payload?: unknown } | undefined;
    if (typeof body?.id !== "string") return response.send(badRequestStatus, { reason: "id is missing" });
    if (this.isDown) return response.send(unavailableStatus, { reason: "down" });
    if (!this._takeBucketToken()) return response.send(tooManyStatus, { reason: "too many appends" });
    if (this.appendMs > 0) await utils.sleep(this.appendMs);
    if (this.isDown) return response.send(unavailableStatus, { reason: "down" });
    const record = this._add(this._getStream(String(request.params.stream)), body.id, body.payload);
    if (this._repliesToLose > 0) {
      this._repliesToLose -= 1;
      response.socket?.destroy();
      return;
    }
    response.send(createdStatus, { offset: record.offset, atMs: record.atMs });
  }

  private async _read(request: restify.Request, response: restify.Response): Promise<void> {
    const query = request.query as { from?: string; waitMs?: string };
    const from = Number(query.from ?? 0);
    const stream = this._getStream(String(request.params.stream));
    if (this.isDown) return response.send(unavailableStatus, { reason: "down" });
    if (from >= getNextOffset(stream))
      await waitForRecord(stream, Math.min(maxWaitMs, Number(query.waitMs ?? 0)));
    if (this.isDown) return response.send(unavailableStatus, { reason: "down" });
    this._applyRetention(stream);
    const start = Math.max(0, from - stream.firstOffset);
    const page: LogPage = {
      records: stream.records.slice(start, start + recordsPerPage),
      oldestOffset: stream.firstOffset,
      nextOffset: getNextOffset(stream),
    };
    response.send(page);
  }

  private _add(stream: Stream, id: string, payload: unknown): LogRecord {
    const record = { offset: getNextOffset(stream), atMs: utils.wallMs(), id, payload };
    stream.records.push(record);
    this.appendCount += 1;
    this.appendedBytes += JSON.stringify(payload).length;
    resolveWaiters(stream);
    return record;
  }

  private _takeBucketToken(): boolean {
    const nowMs = utils.monotonicMs();
    const refillTokens = ((nowMs - this._bucketRefilledAtMs) / utils.msPerSecond) * this._appendsPerSecond;
    this._bucketTokens = Math.min(this._appendsPerSecond, this._bucketTokens + refillTokens);
    this._bucketRefilledAtMs = nowMs;
    if (this._bucketTokens < 1) return false;
    this._bucketTokens -= 1;
    return true;
  }

  private _applyRetention(stream: Stream): void {
    const oldestMs = utils.wallMs() - this._retentionMs;
    while (stream.records[0] !== undefined && stream.records[0].atMs < oldestMs) {
      stream.records.shift();
      stream.firstOffset += 1;
    }
  }

  private _getStream(name: string): Stream {
    const existing = this._streams.get(name);
    if (existing !== undefined) return existing;
    const stream: Stream = { records: [], firstOffset: 0, waiters: [] };
    this._streams.set(name, stream);
    return stream;
  }
}

function getNextOffset(stream: Stream): number {
  return stream.firstOffset + stream.records.length;
}

function resolveWaiters(stream: Stream): void {
  const waiters = stream.waiters;
  stream.waiters = [];
  for (const waiter of waiters) waiter.resolve();
}

async function waitForRecord(stream: Stream, waitMs: number): Promise<void> {
  if (waitMs <= 0) return;
  const waiter = new utils.Deferred<void>();
  stream.waiters.push(waiter);
  const timer = setTimeout(() => waiter.resolve(), waitMs);
  await waiter.promise;
  clearTimeout(timer);
}
