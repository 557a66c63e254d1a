/** Predicts when a service accepts requests again while rate limits or back-offs block all of its endpoints. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { RequestDemand } from "./RequestDemand.js";

const shortestRetryAfterMs = 200;
const longestRetryAfterMs = 4_000;
/** Retry-After times are jittered from 0.75 to 1.25 of the expected time, so that rejected callers do not return together. */
const minJitter = 0.75;
const jitterRange = 0.5;

/** Assumed request rate of an endpoint without a limit, which blocks only during its slow start after a back-off. */
const slowStartPerSecond = 20;
/** Requests that an endpoint receives soon after its back-off: one at first, the next ones after its answer. */
const requestsPerRecovery = 2;

/** Dependencies of {@link PermitForecast}. */
export interface PermitForecastStructure {
  readonly endpoints: Pick<EndpointTable, "getUsable">;
  readonly demand: Pick<RequestDemand, "getPermitsPerSecond">;
  /** Number of instances; undefined until it is known. */
  readonly getInstanceCount: () => number | undefined;
  /** Monotonic clock; replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
  /** Returns a random number from 0 to 1; replaced in tests. */
  readonly random?: (() => number) | undefined;
}

/** Estimates how long requests wait for permits, and when rejected callers should retry. Each instance has one forecast. */
export class PermitForecast {
  private readonly _nowMs: () => number;
  private readonly _random: () => number;

  constructor(private readonly _structure: PermitForecastStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
  }

  /** Returns whether rate limits or back-offs keep every endpoint of the service from accepting a request now. */
  isBlocked(service: string): boolean {
    return this.getIntervalMs(service) > 0 || this._getBackoffMs(service) > 0;
  }

  /** Returns the reason for rejections while the service is blocked. */
  getBlockReason(service: string): "limited" | "resting" {
    const isLimited = this._getCandidates(service).some(({ limit }) => limit?.perSecond !== undefined);
    return isLimited && this._getBackoffMs(service) === 0 ? "limited" : "resting";
  }

  /** Returns the expected time between two requests that this instance may send; 0 while an endpoint accepts one now. */
  getIntervalMs(service: string): number {
    const limits = this._getLimits(service);
    if (limits === undefined) return 0;
    const instances = Math.max(1, this._structure.getInstanceCount() ?? 1);
    const evenPerSecond = utils.getSum(limits) / instances;
    const perSecond = Math.max(evenPerSecond, this._structure.demand.getPermitsPerSecond(service));
    return utils.msPerSecond / Math.max(perSecond, Number.EPSILON);
  }

  /**
   * Returns the expected wait of a request behind `ahead` others in this instance's queue. Permits are granted first to instances with
   * waiting requests, so the first request of a queue may get the next permit of the whole fleet; the requests behind it depend on the
   * permits that this instance receives.
   */
  getWaitMs(service: string, ahead: number): number {
    const backoffMs = this._getBackoffMs(service, ahead);
    if (ahead > 0) return backoffMs + (ahead + 1) * this.getIntervalMs(service);
    const limits = this._getLimits(service);
    if (limits === undefined) return backoffMs;
    return backoffMs + utils.msPerSecond / Math.max(utils.getSum(limits), Number.EPSILON);
  }

  /** Returns when a rejected caller should retry, given the number of waiting requests. */
  getRetryAfterMs(service: string, waiting: number): number {
    const expectedMs = (waiting + 1) * this.getIntervalMs(service);
    const boundedMs = Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, expectedMs));
    return this._getBackoffMs(service, waiting) + boundedMs * (minJitter + jitterRange * this._random());
  }

  /**
   * Describes the limits and back-offs of a service for the log line of a rejection: `address=2/s for 1200 ms` (the age of the limit) or
   * `address backs off for 800 ms` (the remaining time).
   */
  describeBlocks(service: string): string[] {
    const nowMs = this._nowMs();
    return this._getCandidates(service).flatMap(({ listed, limit, backoff }) => {
      const backoffMs = backoff.getLeftMs(nowMs);
      if (backoffMs > 0) return [`${listed.address} backs off for ${Math.round(backoffMs)} ms`];
      if (limit?.perSecond === undefined) return [];
      return [`${listed.address}=${limit.perSecond}/s for ${Math.round(nowMs - limit.atMs)} ms`];
    });
  }

  /**
   * Returns the limits per second of all endpoints that can be the first of a request, or undefined if one of them has a permit now or
   * there is no such endpoint.
   */
  private _getLimits(service: string): number[] | undefined {
    const nowMs = this._nowMs();
    const first = getFirstEndpoints(this._getCandidates(service)).filter(
      ({ backoff }) => backoff.getLeftMs(nowMs) === 0,
    );
    if (first.length === 0 || first.some((endpoint) => endpoint.hasPermit(nowMs))) return undefined;
    return first.map((endpoint) => endpoint.limit?.perSecond ?? slowStartPerSecond);
  }

  /**
   * Returns the time until enough back-offs have ended to serve a request behind `ahead` others. The request needs an endpoint that does
   * not back off and has not received its first requests yet, or engines that have all layers together. Returns 0 if back-offs do not
   * block the service.
   */
  private _getBackoffMs(service: string, ahead = 0): number {
    const nowMs = this._nowMs();
    const candidates = this._getCandidates(service);
    const available = candidates.filter(({ backoff }) => backoff.getLeftMs(nowMs) === 0);
    if (available.length === candidates.length || isServable(available, candidates)) return 0;
    const backingOff = candidates
      .filter((candidate) => !available.includes(candidate))
      .sort((a, b) => a.backoff.untilMs - b.backoff.untilMs);
    const first = backingOff.findIndex((_, index) =>
      isServable([...available, ...backingOff.slice(0, index + 1)], candidates),
    );
    if (first < 0) return 0;
    const recoveries = Math.floor(ahead / requestsPerRecovery);
    return backingOff[Math.min(first + recoveries, backingOff.length - 1)]?.backoff.getLeftMs(nowMs) ?? 0;
  }

  private _getCandidates(service: string): Endpoint[] {
    const nowMs = this._nowMs();
    return this._structure.endpoints.getUsable(service).filter((endpoint) => !endpoint.isSuspect(nowMs));
  }
}

/** Returns the endpoints that can be the first of a request: engines with the first layers, or all endpoints if none has layers. */
function getFirstEndpoints(endpoints: readonly Endpoint[]): Endpoint[] {
  const engines = endpoints.filter(({ listed }) => listed.layers.length > 0);
  return engines.length === 0
    ? [...endpoints]
    : engines.filter(({ listed }) => listed.layers.some(({ start }) => start === 0));
}

/**
 * Returns whether the available endpoints can run a request: a single one is enough if none of `all` has layers, otherwise the available
 * endpoints must cover the layers of `all`.
 */
function isServable(available: readonly Endpoint[], all: readonly Endpoint[]): boolean {
  const end = Math.max(0, ...all.flatMap(({ listed }) => listed.layers.map((span) => span.end)));
  if (end === 0) return available.length > 0;
  const loaded = available.flatMap(({ listed }) => listed.layers);
  return placement.isCovered({ start: 0, end }, loaded);
}
