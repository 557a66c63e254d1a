import { errors, results, utils } from "@shedtiller/common";
import {
  LogRefusedError,
  LogService,
  type AppendReceipt,
  type LogError,
  type LogPage,
  type LogRecord,
} from "@shedtiller/logservice";

/** Fault that an append is subject to. */
export type AppendFault = "refused" | "reply-lost" | "lost" | "twice";

const noFault = undefined;
const unavailableStatus = 503;
const pollMs = 2;

/** An in-memory log service that injects the n-th fault into the n-th append. */
export class FakeLog extends LogService {
  readonly records: LogRecord[] = [];
  /** Offset before which records have expired. */
  oldestOffset = 0;
  nowMs = utils.wallMs();
  private _appends = 0;

  constructor(private readonly _faults: readonly (AppendFault | undefined)[] = []) {
    super();
  }

  override async append(
    _stream: string,
    id: string,
    payload: unknown,
  ): Promise<results.Result<AppendReceipt, LogError>> {
    const fault = this._faults[this._appends++] ?? noFault;
    await utils.sleep(1);
    if (fault === "refused") return results.Err(new LogRefusedError(unavailableStatus));
    if (fault === "lost") return results.Err(new errors.ConnectionLostError("log"));
    const receipt = this.add(id, payload);
    if (fault === "twice") this.add(id, payload);
    if (fault === "reply-lost") return results.Err(new errors.ConnectionLostError("log"));
    return results.Ok(receipt);
  }

  override async read(
    _stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<results.Result<LogPage, LogError>> {
    const isNew = (): boolean => this.records.length > fromOffset || signal?.aborted === true;
    await utils.waitUntil(isNew, Math.min(waitMs, 50), pollMs);
    const records = this.records.slice(Math.max(fromOffset, this.oldestOffset));
    return results.Ok({ records, oldestOffset: this.oldestOffset, nextOffset: this.records.length });
  }

  /** Adds a record with the log's timestamp. */
  add(id: string, payload: unknown): AppendReceipt {
    const record = { offset: this.records.length, atMs: this.nowMs, id, payload: structuredClone(payload) };
    this.records.push(record);
    return record;
  }
}
