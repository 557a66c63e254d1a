/** What instances say to each other about permits. */
import * as zod from "zod";

const mostLimits = 4_096;
const mostPermits = 1_000_000;
const key = zod.string().min(1).max(256);
const count = zod.number().int().nonnegative().max(mostPermits);

/** What an instance, or a zone, wants of one limit. */
export const limitDemandSchema = zod.object({
  key,
  /** Limits of one group serve the same requests: of all of them together no more is handed out than is wanted of one. */
  group: zod.string().max(256),
  /** Permits wanted beyond those in hand. */
  count,
  /** Of these, for requests that wait. */
  waiting: count,
  /** Permits that were used since the last ask. */
  used: count,
  /** Permits that ran out unused. */
  returned: count,
  /** Sends that had no permit, since the limit was not known yet. */
  charged: count,
});
export type LimitDemand = zod.infer<typeof limitDemandSchema>;

/** A question for permits. Whoever asks lends what it has of the limits to the one that it asks, until its loan runs out. */
export const permitRequestSchema = zod.object({
  /** Instances whose equal parts of the limits it lends. */
  lending: count,
  /** Number of all instances, as far as it knows; 0 where it does not. */
  known: count,
  /** Availability zones of the endpoints whose limits it lends; all where it is left out. */
  zones: zod.array(zod.string()).max(mostLimits).optional(),
  wants: zod.array(limitDemandSchema).max(mostLimits),
});
export type PermitRequest = zod.infer<typeof permitRequestSchema>;

/** Permits handed out. */
export const grantedPermitsSchema = zod.array(zod.object({ key, count })).max(mostLimits);
export type GrantedPermits = zod.infer<typeof grantedPermitsSchema>;
