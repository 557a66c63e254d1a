/**
 * One limit over many instances without a round trip: each takes a share by its own demand and the demands that it last
 * heard of the others. All that see the same demands take shares that sum to the limit.
 */

/** Part of the limit that is spread evenly whatever the demands, so that no instance stands at nothing. */
const floorPart = 0.1;

/** What a share is computed from. */
export interface ShareOptions {
  readonly limit: number;
  readonly ownDemand: number;
  /** Demands of the other instances, as last heard. */
  readonly otherDemands: readonly number[];
}

/** This instance's share of a limit, in the limit's unit. */
export function getShare(options: ShareOptions): number {
  const { limit, ownDemand, otherDemands } = options;
  const count = otherDemands.length + 1;
  const total = otherDemands.reduce((sum, demand) => sum + demand, ownDemand);
  if (total <= limit) return ownDemand + (limit - total) / count;
  const floor = (limit * floorPart) / count;
  return floor + (limit - floor * count) * (ownDemand / total);
}
