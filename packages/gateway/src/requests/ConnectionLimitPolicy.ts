/** Decides how many new connections an overloaded instance accepts while another one has room. */
import type { ConnectionCounts } from "./NewConnectionLimit.js";

/** Interval of the decisions. */
export const decisionIntervalMs = 200;
/**
 * Share of its time for which the event loop is busy from which the process counts as overloaded. Connections then wait to be accepted, and
 * the delay of the loop shows nothing of it, since only a few are accepted in each of its turns.
 */
const overloadUtilization = 0.95;
/** Consecutive intervals of overload before the limit begins; a shorter overload, as by one large message, ends by itself. */
const overloadIntervals = 3;
/** Utilization below which more connections are accepted, and the one that this aims at. */
const relaxedUtilization = 0.85;
const targetUtilization = 0.9;
/** A limit begins only if a peer's utilization is at most this, and ends if no peer has a smaller one than an overloaded process. */
const peerUtilization = 0.6;
/**
 * Factors by which the limit changes with each interval. An overload tells nothing of its size. Accepted connections bring their load
 * later, so that the limit rises by steps; a process that has become idle takes as many as before within a second.
 */
const decreaseFactor = 0.7;
const maxIncreaseFactor = 1.5;
/** Connections that are always accepted in an interval, so that an instance which counts as ready never stops taking callers. */
const minAccepted = 1;
/**
 * Intervals of the overload in which more than the least number must have been accepted. Callers that connect once and keep their
 * connections are no reason for a limit, which would end these connections with each answer and so cause the new ones that it refuses.
 */
const minLoadedIntervals = 2;
/** Intervals without overload and without a refused connection after which the limit ends. */
const calmIntervals = 3;

/** State of the process and its peers in an interval. */
export interface LoadObservation extends ConnectionCounts {
  /** Share of the interval for which the event loop was busy. */
  readonly utilization: number;
  /** The least utilization that a peer has stated; undefined if none has. */
  readonly leastPeerUtilization: number | undefined;
}

/** The limit on new connections, updated once an interval. */
export class ConnectionLimitPolicy {
  /** Numbers accepted in the latest intervals of overload. */
  private _acceptedOverloaded: number[] = [];
  private _calmIntervals = 0;
  private _limit: number | undefined;

  /** Number of connections to accept in an interval; undefined for no limit. */
  get limit(): number | undefined {
    return this._limit === undefined ? undefined : Math.floor(this._limit);
  }

  /** Updates the limit after an interval. */
  update(observed: LoadObservation): void {
    const isOverloaded = observed.utilization >= overloadUtilization;
    this._acceptedOverloaded = isOverloaded
      ? [...this._acceptedOverloaded, observed.accepted].slice(-overloadIntervals)
      : [];
    this._calmIntervals = isOverloaded || observed.refused > 0 ? 0 : this._calmIntervals + 1;
    const { leastPeerUtilization } = observed;
    const maxPeerUtilization = this._limit === undefined ? peerUtilization : overloadUtilization;
    const hasPeerWithRoom = leastPeerUtilization !== undefined && leastPeerUtilization <= maxPeerUtilization;
    this._limit = hasPeerWithRoom ? this._getNextLimit(observed) : undefined;
  }

  private _getNextLimit({ utilization }: LoadObservation): number | undefined {
    const limit = this._limit;
    if (limit === undefined) return this._getFirstLimit();
    if (this._calmIntervals >= calmIntervals) return undefined;
    if (utilization >= overloadUtilization) return Math.max(minAccepted, limit * decreaseFactor);
    if (utilization >= relaxedUtilization) return limit;
    return limit * Math.min(maxIncreaseFactor, targetUtilization / utilization);
  }

  /** Callers cause an overload only if they are more than the least number, and a single interval says little of how many it can bear. */
  private _getFirstLimit(): number | undefined {
    if (this._acceptedOverloaded.length < overloadIntervals) return undefined;
    const loaded = this._acceptedOverloaded.filter((accepted) => accepted > minAccepted);
    if (loaded.length < minLoadedIntervals) return undefined;
    return Math.max(minAccepted, Math.max(...loaded) * decreaseFactor);
  }
}
