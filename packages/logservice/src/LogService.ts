/** The platform's append-only log service, as the system sees it. */
import { errors, type results } from "@shedtiller/common";
import * as zod from "zod";

export const logRecordSchema = zod.object({
  offset: zod.number().int().nonnegative(),
  /** When the service took the record, in milliseconds since the Unix epoch. */
  atMs: zod.number(),
  id: zod.string(),
  payload: zod.unknown(),
});

/** One record. Offsets of a stream rise by one from 0; `id` is the appender's own. */
export type LogRecord = zod.infer<typeof logRecordSchema>;

export const logPageSchema = zod.object({
  records: zod.array(logRecordSchema),
  /** The oldest offset still kept; records before it have aged out. */
  oldestOffset: zod.number().int().nonnegative(),
  /** The offset that the next append will get. */
  nextOffset: zod.number().int().nonnegative(),
});

/** A run of records and the bounds of what the service keeps. */
export type LogPage = zod.infer<typeof logPageSchema>;

/** What an append that got its reply tells. */
export interface AppendReceipt {
  readonly offset: number;
  readonly atMs: number;
}

/** Why the log did not answer as asked. Only `NotReachedError` proves that an append took no effect. */
export type LogError =
  errors.NotReachedError | errors.ConnectionLostError | errors.DeadlineError | LogRefusedError;

/** The log service answered that it did not take the append: too many a second, or out of service. */
export class LogRefusedError extends errors.ShedtillerError {
  readonly code = "log_refused";

  constructor(readonly status: number) {
    super(`The log service refused with status ${status}.`);
  }
}

/** Appends to and reads from streams of the log service. */
export abstract class LogService {
  /**
   * Appends one record.
   * @param id - Unique id of the record, by which a lost reply can be resolved.
   * @param timeoutMs - How long to wait for the reply; without a reply it is not known whether the append took effect.
   */
  abstract append(
    stream: string,
    id: string,
    payload: unknown,
    timeoutMs?: number,
  ): Promise<results.Result<AppendReceipt, LogError>>;

  /**
   * Reads records from an offset on.
   * @param waitMs - How long the service may hold the call while there is nothing new.
   */
  abstract read(
    stream: string,
    fromOffset: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<results.Result<LogPage, LogError>>;
}
