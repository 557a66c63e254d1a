import type { results } from "@shedtiller/common";
import * as zod from "zod";
import type { StoreError } from "../discovery/ChangeFeed.js";

export const registeredInstanceSchema = zod.object({
  name: zod.string().min(1),
  availabilityZone: zod.string(),
  /** IP and port of the peer listener. */
  address: zod.string(),
});
export type RegisteredInstance = zod.infer<typeof registeredInstanceSchema>;

/** Registers the address of this instance in the platform's store, and lists the registered instances. */
export abstract class PeerRegistry {
  abstract register(self: RegisteredInstance): Promise<results.Result<void, StoreError>>;
  abstract getInstances(): Promise<results.Result<RegisteredInstance[], StoreError>>;
}
