/** When a service takes requests again whose endpoints all name limits or have asked for rest. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import type { Endpoint } from "../discovery/Endpoint.js";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { RequestDemand } from "./RequestDemand.js";

const shortestRetryAfterMs = 200;
const longestRetryAfterMs = 4_000;
/** Times to come back are spread from this share of what is expected to as much beyond it, so that callers don't return together. */
const leastSpread = 0.75;
const spreadRange = 0.5;

/** Requests a second that an endpoint takes which comes back from a rest. */
const returningPerSecond = 20;
/** Requests that go to an endpoint soon after its rest: one, and the next ones after its answer. */
const requestsPerReturn = 2;

/** What a forecast works with. */
export interface PermitForecastStructure {
  readonly endpoints: Pick<EndpointTable, "getUsable">;
  readonly demand: Pick<RequestDemand, "getPermitsPerSecond">;
  /** Number of instances; undefined until it is known. */
  readonly getInstanceCount: () => number | undefined;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: (() => number) | undefined;
  /** From 0 to 1, replaced in tests. */
  readonly random?: (() => number) | undefined;
}

/** One an instance. */
export class PermitForecast {
  private readonly _nowMs: () => number;
  private readonly _random: () => number;

  constructor(private readonly _structure: PermitForecastStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
  }

  /** Whether limits or rests keep all endpoints from taking a request now. */
  isHeldUp(service: string): boolean {
    return this.getIntervalMs(service) > 0 || this._getRestMs(service) > 0;
  }

  /** Why requests are refused while the service is held up. */
  getReason(service: string): "limited" | "resting" {
    const isLimited = this._getCandidates(service).some(({ limit }) => limit?.perSecond !== undefined);
    return isLimited && this._getRestMs(service) === 0 ? "limited" : "resting";
  }

  /** Time between two requests that this instance may begin; 0 while some endpoint of the service takes one now. */
  getIntervalMs(service: string): number {
    const limits = this._getLimits(service);
    if (limits === undefined) return 0;
    const instances = Math.max(1, this._structure.getInstanceCount() ?? 1);
    const evenPerSecond = utils.getSum(limits) / instances;
    const perSecond = Math.max(evenPerSecond, this._structure.demand.getPermitsPerSecond(service));
    return utils.msPerSecond / Math.max(perSecond, Number.EPSILON);
  }

  /**
   * When a request may begin that finds so many others ahead of it here. Permits go first where requests wait, so that the first one may
   * have the next of all; those behind it take what comes to this instance.
   */
  getWaitMs(service: string, ahead: number): number {
    const restMs = this._getRestMs(service, ahead);
    if (ahead > 0) return restMs + (ahead + 1) * this.getIntervalMs(service);
    const limits = this._getLimits(service);
    if (limits === undefined) return restMs;
    return restMs + utils.msPerSecond / Math.max(utils.getSum(limits), Number.EPSILON);
  }

  /** When a request should come back that finds so many others waiting. */
  getRetryAfterMs(service: string, waiting: number): number {
    const expectedMs = (waiting + 1) * this.getIntervalMs(service);
    const boundedMs = Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, expectedMs));
    return this._getRestMs(service, waiting) + boundedMs * (leastSpread + spreadRange * this._random());
  }

  /** What holds a service up, for the line of a refusal: `address=2/s for 1200 ms`, `address rests for 800 ms`. */
  describe(service: string): string[] {
    const nowMs = this._nowMs();
    return this._getCandidates(service).flatMap(({ listed, limit, backoff: rest }) => {
      const restMs = rest.getLeftMs(nowMs);
      if (restMs > 0) return [`${listed.address} rests for ${Math.round(restMs)} ms`];
      if (limit?.perSecond === undefined) return [];
      return [`${listed.address}=${limit.perSecond}/s for ${Math.round(nowMs - limit.atMs)} ms`];
    });
  }

  /** The limits of all endpoints that may begin a request; undefined where one of them takes it now, or there is none. */
  private _getLimits(service: string): number[] | undefined {
    const nowMs = this._nowMs();
    const first = getFirst(this._getCandidates(service)).filter(
      ({ backoff: rest }) => rest.getLeftMs(nowMs) === 0,
    );
    if (first.length === 0 || first.some((endpoint) => endpoint.hasPermit(nowMs))) return undefined;
    return first.map((endpoint) => endpoint.limit?.perSecond ?? returningPerSecond);
  }

  /**
   * Until the first moment at which a request with so many others ahead finds all that it needs: an endpoint that does not rest and has
   * not had its first requests yet, or engines that hold all layers together; 0 where rests are not what is in the way.
   */
  private _getRestMs(service: string, ahead = 0): number {
    const nowMs = this._nowMs();
    const candidates = this._getCandidates(service);
    const awake = candidates.filter(({ backoff: rest }) => rest.getLeftMs(nowMs) === 0);
    if (awake.length === candidates.length || isServable(awake, candidates)) return 0;
    const resting = candidates
      .filter((candidate) => !awake.includes(candidate))
      .sort((a, b) => a.backoff.untilMs - b.backoff.untilMs);
    const back = resting.findIndex((_, index) =>
      isServable([...awake, ...resting.slice(0, index + 1)], candidates),
    );
    if (back < 0) return 0;
    const returns = Math.floor(ahead / requestsPerReturn);
    return resting[Math.min(back + returns, resting.length - 1)]?.backoff.getLeftMs(nowMs) ?? 0;
  }

  private _getCandidates(service: string): Endpoint[] {
    const nowMs = this._nowMs();
    return this._structure.endpoints.getUsable(service).filter((endpoint) => !endpoint.isSuspect(nowMs));
  }
}

/** Endpoints that may be the first of a request: those with the first layers, where there are any with layers. */
function getFirst(endpoints: readonly Endpoint[]): Endpoint[] {
  const engines = endpoints.filter(({ listed }) => listed.layers.length > 0);
  return engines.length === 0
    ? [...endpoints]
    : engines.filter(({ listed }) => listed.layers.some(({ start }) => start === 0));
}

/** Whether `some` of the endpoints run a request: any one, or engines with all layers that `all` hold. */
function isServable(some: readonly Endpoint[], all: readonly Endpoint[]): boolean {
  const end = Math.max(0, ...all.flatMap(({ listed }) => listed.layers.map((span) => span.end)));
  if (end === 0) return some.length > 0;
  const held = some.flatMap(({ listed }) => listed.layers);
  return placement.isCovered({ start: 0, end }, held);
}
