/** `Ok` and `Err` of ts-results, gathered here because the library is CommonJS without named exports. */
import tsResults from "ts-results";
import type * as types from "ts-results";

/** A value or a typed failure. */
export type Result<T, E> = types.Result<T, E>;
export const Ok = tsResults.Ok;
export const Err = tsResults.Err;
