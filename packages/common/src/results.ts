/** Re-exports of `Ok` and `Err` of ts-results, which is a CommonJS library without named exports. */
import tsResults from "ts-results";
import type * as types from "ts-results";

/** A value or a typed error. */
export type Result<T, E> = types.Result<T, E>;
export const Ok = tsResults.Ok;
export const Err = tsResults.Err;
