/** Where requests that are held back outlast the end of all instances. */
import type { results } from "@shedtiller/common";
import type { StoreError } from "../discovery/ChangeFeed.js";
import * as zod from "zod";

export const storedQuarantineSchema = zod.object({
  digest: zod.string().min(1).max(64),
  /** Unix milliseconds; instances that read it share no other clock. */
  untilUnixMs: zod.number(),
  times: zod.number().int().positive(),
});
export type StoredQuarantine = zod.infer<typeof storedQuarantineSchema>;

/** Keeps holds; one call for each that begins or ends. */
export abstract class QuarantineStore {
  abstract read(): Promise<results.Result<StoredQuarantine[], StoreError>>;
  abstract add(hold: StoredQuarantine): Promise<results.Result<void, StoreError>>;
  abstract remove(digest: string): Promise<results.Result<void, StoreError>>;
}
