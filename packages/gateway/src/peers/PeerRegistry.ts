/** Where instances find each other: each writes its address into the platform's store. */
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

/** Registers this instance and lists the others. */
export abstract class PeerRegistry {
  abstract register(self: RegisteredInstance): Promise<results.Result<void, StoreError>>;
  abstract getInstances(): Promise<results.Result<RegisteredInstance[], StoreError>>;
}
