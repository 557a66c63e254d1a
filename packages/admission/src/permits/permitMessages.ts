/** Schemas of the messages that instances exchange about permits. */
import * as zod from "zod";

const maxLimits = 4_096;
const maxPermits = 1_000_000;
const key = zod.string().min(1).max(256);
const count = zod.number().int().nonnegative().max(maxPermits);

/** Demand of an instance or a zone for permits of one limit, and its usage since the last permit request. */
export const limitDemandSchema = zod.object({
  key,
  /** Limits of one group serve the same requests: all of them together grant no more permits than are demanded of one. */
  group: zod.string().max(256),
  /** Permits demanded in addition to the local ones. */
  count,
  /** Number of these permits that are for waiting requests. */
  waiting: count,
  /** Permits that were used since the last permit request. */
  used: count,
  /** Permits that expired unused. */
  returned: count,
  /** Requests that were sent without a permit because the limit was not known yet. */
  charged: count,
});
export type LimitDemand = zod.infer<typeof limitDemandSchema>;

/** A permit request. The sender lends its quota shares of the limits to the receiver until the loan expires. */
export const permitRequestSchema = zod.object({
  /** Number of instances whose equal quota shares are lent. */
  lending: count,
  /** Number of all instances as far as the sender has discovered them, or 0 if it is unknown. */
  known: count,
  /** Availability zones of the endpoints for whose limits the shares are lent; all zones if it is left out. */
  zones: zod.array(zod.string()).max(maxLimits).optional(),
  wants: zod.array(limitDemandSchema).max(maxLimits),
});
export type PermitRequest = zod.infer<typeof permitRequestSchema>;

/** Granted permits. */
export const grantedPermitsSchema = zod.array(zod.object({ key, count })).max(maxLimits);
export type GrantedPermits = zod.infer<typeof grantedPermitsSchema>;
