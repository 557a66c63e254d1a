/** Shares of each zone's requests that run in other zones, from demand and capacity by zone. */
import { utils } from "@shedtiller/common";

/** Demand and capacity of a zone, in the same unit. */
export interface ZoneBalance {
  /** Rate at which the callers of the zone ask. */
  readonly demand: number;
  /** Rate that the engines of the zone sustain; 0 if they don't run the whole model. */
  readonly capacity: number;
}

/** Shares of the requests of a zone by the zone in which they run, without the zone's own share and without zeros. */
export type FlowShares = ReadonlyMap<string, number>;

/**
 * Returns the shares of each zone's requests that run in other zones. Each zone serves its own demand up to `targetUtilization` of its
 * capacity; what is left over goes to zones with capacity beside their own demand, in proportion to it. If all zones together have less
 * capacity than that, the utilization rises evenly, up to their whole capacity; demand beyond it stays at home.
 */
export function computeFlows(
  zones: ReadonlyMap<string, ZoneBalance>,
  targetUtilization: number,
): ReadonlyMap<string, FlowShares> {
  const balances = [...zones.values()];
  const sum = (getValue: (zone: ZoneBalance) => number): number => utils.getSum(balances.map(getValue));
  const evenUtilization =
    sum(({ demand }) => demand) /
    Math.max(
      Number.MIN_VALUE,
      sum(({ capacity }) => capacity),
    );
  const utilization = Math.min(1, Math.max(targetUtilization, evenUtilization));
  const getExcess = ({ demand, capacity }: ZoneBalance): number =>
    Math.max(0, demand - utilization * capacity);
  const getSpare = ({ demand, capacity }: ZoneBalance): number =>
    Math.max(0, utilization * capacity - demand);
  const spare = sum(getSpare);
  const movableShare = Math.min(1, spare / Math.max(Number.MIN_VALUE, sum(getExcess)));
  return new Map(
    [...zones].map(([name, zone]) => {
      const excess = getExcess(zone) * movableShare;
      if (excess === 0) return [name, new Map()];
      const takers = [...zones].filter(([, taker]) => getSpare(taker) > 0);
      const getShare = (taker: ZoneBalance): number => ((excess / zone.demand) * getSpare(taker)) / spare;
      return [name, new Map(takers.map(([taker, balance]) => [taker, getShare(balance)]))];
    }),
  );
}
