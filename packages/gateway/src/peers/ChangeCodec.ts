import type * as zod from "zod";
import type { Change } from "../discovery/ChangeFeed.js";

/** Converts the changes of one feed to and from the format in which instances relay them. */
export abstract class ChangeCodec<T, TEncoded> {
  abstract readonly schema: zod.ZodType<TEncoded>;

  /** Returns the encoded changes, or undefined if each instance has to read the changes from the store by itself. */
  abstract encode(changes: readonly Change<T>[]): TEncoded | undefined;

  /** Returns the decoded changes, or undefined if they don't apply to the state of this instance. */
  abstract decode(encoded: TEncoded): readonly Change<T>[] | undefined;
}
