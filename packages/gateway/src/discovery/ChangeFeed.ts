import { errors, type results } from "@shedtiller/common";

/** One change of a keyed set; `value` is undefined if the key was removed or its new value cannot be parsed. */
export interface Change<T> {
  readonly key: string;
  readonly value: T | undefined;
  /** Whether the new value under the key cannot be parsed: the previous value was overwritten, but the key was not removed. */
  readonly isUnreadable?: boolean | undefined;
}

/** All values at one point in time, and the offset from which to read later changes. */
export interface FeedSnapshot<T> {
  readonly values: ReadonlyMap<string, T>;
  readonly nextOffset: number;
}

/** Changes since an offset. If `isCompacted` is set, some of them are no longer stored and the reader has to read a new snapshot. */
export interface FeedPage<T> {
  readonly changes: readonly Change<T>[];
  readonly nextOffset: number;
  /** The offset after the newest change that the store had when it answered. */
  readonly endOffset: number;
  readonly isCompacted: boolean;
}

/** Returns whether a page was cut off: the store had further changes, so the page does not show that the set is complete. */
export function isCutOff({
  nextOffset,
  endOffset,
}: Pick<FeedPage<unknown>, "nextOffset" | "endOffset">): boolean {
  return nextOffset < endOffset;
}

/** Errors of calls to the store: there was no answer, the store rejected the call, or its answer was invalid. */
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
    super(`The store rejected ${call} with status ${status}.`);
  }
}

/** Reads a set of keyed values and its changes from the platform's store. */
export abstract class ChangeFeed<T> {
  /** Reads all values. */
  abstract getSnapshot(): Promise<results.Result<FeedSnapshot<T>, StoreError>>;

  /**
   * Reads the changes from an offset on.
   * @param waitMs - How long the store may keep the call open while there are no changes (long polling).
   */
  abstract getChanges(offset: number, waitMs: number): Promise<results.Result<FeedPage<T>, StoreError>>;
}
