/** A set of keyed values that changes over time, as the platform's store offers it. */
import { errors, type results } from "@shedtiller/common";

/** One change; `value` is undefined where the key was dropped, or where what stands under it now can't be read. */
export interface Change<T> {
  readonly key: string;
  readonly value: T | undefined;
  /** Something was written under the key that is no value: what stood there before has been replaced, but not dropped. */
  readonly isUnreadable?: boolean | undefined;
}

/** All values at one moment, and where to read on. */
export interface FeedSnapshot<T> {
  readonly values: ReadonlyMap<string, T>;
  readonly nextOffset: number;
}

/** Changes since an offset. `isCompacted` tells that some are gone, so that a snapshot is needed. */
export interface FeedPage<T> {
  readonly changes: readonly Change<T>[];
  readonly nextOffset: number;
  readonly isCompacted: boolean;
}

/** The store did not answer, or refused. */
export type StoreError =
  | errors.NotReachedError
  | errors.ConnectionLostError
  | errors.DeadlineError
  | errors.InvalidInputError
  | StoreRefusedError;

/** The store answered with a status other than success. */
export class StoreRefusedError extends errors.ShedtillerError {
  readonly code = "store_refused";

  constructor(
    readonly call: string,
    readonly status: number,
  ) {
    super(`The store refused ${call} with status ${status}.`);
  }
}

/** Reads a keyed set and its changes. */
export abstract class ChangeFeed<T> {
  /** Reads all values. */
  abstract getSnapshot(): Promise<results.Result<FeedSnapshot<T>, StoreError>>;

  /**
   * Reads changes from an offset on.
   * @param waitMs - How long the store may hold the call while there is nothing new.
   */
  abstract getChanges(offset: number, waitMs: number): Promise<results.Result<FeedPage<T>, StoreError>>;
}
