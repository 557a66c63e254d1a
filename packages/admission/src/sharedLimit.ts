/**
 * Divides one limit among many instances without a round trip: each computes its share from its own demand and the last received demands
 * of the others. The shares of instances that have the same demands add up to the limit.
 */

/** Share of the limit that is distributed evenly regardless of the demands, so that no instance is left with nothing. */
const evenShare = 0.1;

/** Options of {@link getShare}. */
export interface ShareOptions {
  readonly limit: number;
  readonly ownDemand: number;
  /** Last received demands of the other instances. */
  readonly otherDemands: readonly number[];
}

/** Returns this instance's share of a limit, in the unit of the limit. */
export function getShare(options: ShareOptions): number {
  const { limit, ownDemand, otherDemands } = options;
  const count = otherDemands.length + 1;
  const total = otherDemands.reduce((sum, demand) => sum + demand, ownDemand);
  if (total <= limit) return ownDemand + (limit - total) / count;
  const floor = (limit * evenShare) / count;
  return floor + (limit - floor * count) * (ownDemand / total);
}
