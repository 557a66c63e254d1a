/** The platform's list of live and leaving instances. It lags behind the truth. */
import type { errors, results } from "@shedtiller/common";
import * as zod from "zod";

export const listedInstanceSchema = zod.object({
  name: zod.string(),
  role: zod.enum(["entry", "engine", "service"]),
  availabilityZone: zod.string(),
  /** IP address and port: of the peer listener for an entry, of the work listener for an endpoint. */
  address: zod.string(),
  state: zod.enum(["live", "leaving"]),
  /** Name of the plain service that an endpoint of role `service` belongs to. */
  service: zod.string().optional(),
});

/** One instance as the platform lists it. */
export type ListedInstance = zod.infer<typeof listedInstanceSchema>;

export const instancePageSchema = zod.object({ instances: zod.array(listedInstanceSchema) });

/** Why the list could not be had. */
export type InstanceListError =
  errors.NotReachedError | errors.ConnectionLostError | errors.InvalidInputError;

/** Reads the list. */
export abstract class InstanceList {
  abstract getInstances(): Promise<results.Result<ListedInstance[], InstanceListError>>;
}
