/** Times after which rejected callers return. */
import { utils } from "@shedtiller/common";

/** Least time to return, as a share of the target latency: the time in which the figures of other instances arrive. */
const leastTargetShare = 0.5;
/**
 * Maximum time to return, in target latencies. Callers wait as told up to a third of the time that they have left, and those with the
 * shortest deadlines wait for six targets.
 */
const maxTargets = 2;
/** Promised returns may take this share of what is admitted; the rest is for first attempts. */
const returnsShare = 0.5;
/** Times are spread by this share around the expected ones, so that callers who were rejected together don't return together. */
const spreadShare = 0.5;

/** What is expected when a request is rejected. */
export interface ReturnForecast {
  readonly targetLatencyMs: number;
  /** Expected returns that are at least as urgent. */
  readonly returnsAhead: number;
  readonly admittedPerSecond: number;
  /** A number from 0 to 1 that follows from the digest of the request. */
  readonly position: number;
}

/** When a rejected request should return. */
export interface ReturnTime {
  readonly returnMs: number;
  /** Whether it can be admitted then. If not, others are expected to need the capacity, and it is a first attempt again. */
  readonly isPromised: boolean;
}

/** Returns the time after which capacity is expected for a request behind the promised returns that are at least as urgent. */
export function getReturnTime(forecast: ReturnForecast): ReturnTime {
  const { targetLatencyMs, returnsAhead, admittedPerSecond, position } = forecast;
  const leastMs = targetLatencyMs * leastTargetShare;
  const mostMs = targetLatencyMs * maxTargets;
  const perSecond = admittedPerSecond * returnsShare;
  const expectedMs = leastMs + (returnsAhead / Math.max(perSecond, Number.EPSILON)) * utils.msPerSecond;
  const isPromised = perSecond > 0 && expectedMs <= mostMs;
  const spread = 1 + spreadShare * (position - 0.5);
  const returnMs = Math.min(mostMs, expectedMs) * spread;
  return { returnMs: Math.max(leastMs, returnMs), isPromised };
}
