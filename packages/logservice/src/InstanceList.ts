/** Interface of the platform's list of live and leaving instances. The list is updated with a delay. */
import type { errors, results } from "@shedtiller/common";
import * as zod from "zod";

export const listedInstanceSchema = zod.object({
  name: zod.string(),
  role: zod.enum(["entry", "engine", "service"]),
  availabilityZone: zod.string(),
  /** IP address and port of the peer listener for an entry instance, and of the listener for requests for an endpoint. */
  address: zod.string(),
  state: zod.enum(["live", "leaving"]),
  /** Name of the service to which an endpoint of role `service` belongs. */
  service: zod.string().optional(),
});

/** An entry of the platform's instance list. */
export type ListedInstance = zod.infer<typeof listedInstanceSchema>;

export const instancePageSchema = zod.object({ instances: zod.array(listedInstanceSchema) });

/** Reasons for which the list could not be read. */
export type InstanceListError =
  errors.NotReachedError | errors.ConnectionLostError | errors.InvalidInputError;

/** Reads the platform's instance list. */
export abstract class InstanceList {
  abstract getInstances(): Promise<results.Result<ListedInstance[], InstanceListError>>;
}
