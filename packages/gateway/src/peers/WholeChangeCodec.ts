import * as zod from "zod";
import type { Change } from "../discovery/ChangeFeed.js";
import { ChangeCodec } from "./ChangeCodec.js";

/** A change with its whole value, as it is sent. */
interface WholeChange<T> {
  readonly key: string;
  readonly value?: T | undefined;
  readonly isUnreadable?: boolean | undefined;
}

/** Sends changes with their whole values, for small values that don't depend on each other. */
export class WholeChangeCodec<T> extends ChangeCodec<T, WholeChange<T>[]> {
  readonly schema;

  constructor(valueSchema: zod.ZodType<T>) {
    super();
    const isUnreadable = zod.boolean().optional();
    this.schema = zod.array(zod.object({ key: zod.string(), value: valueSchema.optional(), isUnreadable }));
  }

  override encode(changes: readonly Change<T>[]): WholeChange<T>[] {
    return [...changes];
  }

  override decode(encoded: WholeChange<T>[]): readonly Change<T>[] {
    return encoded.map(({ key, value, isUnreadable }) => ({ key, value, isUnreadable }));
  }
}
