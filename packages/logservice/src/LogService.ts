/** Interface of the platform's append-only log service. */
import { errors, type results } from "@shedtiller/common";
import * as zod from "zod";

export const logRecordSchema = zod.object({
  offset: zod.number().int().nonnegative(),
  /** Time at which the service stored the record, in milliseconds since the Unix epoch. */
  atMs: zod.number(),
  id: zod.string(),
  payload: zod.unknown(),
});

/** A record of a stream. Offsets start at 0 and increase by one; `id` is set by the appender. */
export type LogRecord = zod.infer<typeof logRecordSchema>;

export const logPageSchema = zod.object({
  records: zod.array(logRecordSchema),
  /** Offset of the oldest retained record; earlier records have expired. */
  oldestOffset: zod.number().int().nonnegative(),
  /** Offset that the next append will get. */
  nextOffset: zod.number().int().nonnegative(),
});

/** Consecutive records of a stream, and the range of offsets that the service retains. */
export type LogPage = zod.infer<typeof logPageSchema>;

/** The reply to a successful append. */
export interface AppendReceipt {
  readonly offset: number;
  readonly atMs: number;
}

/** Reasons for which a call to the log fails. After a `NotReachedError` or `LogRefusedError` an append has certainly had no effect. */
export type LogError =
  errors.NotReachedError | errors.ConnectionLostError | errors.DeadlineError | LogRefusedError;

/** The log service rejected a call, for example because of its rate limit or because it is out of service. */
export class LogRefusedError extends errors.ShedtillerError {
  readonly code = "log_refused";

  constructor(readonly status: number) {
    super(`The log service rejected the call with status ${status}.`);
  }
}

/** Appends records to streams of the log service and reads them. */
export abstract class LogService {
  /**
   * Appends a record.
   * @param id - Unique id of the record, with which the outcome of an append can be found after a lost reply.
   * @param timeoutMs - Maximum time to wait for the reply; after a timeout, the append may or may not have taken effect.
   */
  abstract append(
    stream: string,
    id: string,
    payload: unknown,
    timeoutMs?: number,
  ): Promise<results.Result<AppendReceipt, LogError>>;

  /**
   * Reads records starting at an offset.
   * @param waitMs - Maximum time for which the service delays its answer while there are no new records (long polling).
   */
  abstract read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<results.Result<LogPage, LogError>>;
}
