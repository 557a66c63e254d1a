/** Limit on new connections of callers while this process is overloaded and another instance is not. */
import { performance } from "node:perf_hooks";
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";
import { ConnectionLimitPolicy, decisionIntervalMs } from "./ConnectionLimitPolicy.js";
import type { ConnectionCounts } from "./NewConnectionLimit.js";

const heartbeatField = "utilization";
/** Intervals whose mean utilization is told to peers. Single ones vary between idle and busy at small instances. */
const statedIntervals = 5;
/**
 * Least utilization that this instance states while it sends callers away: other instances must not begin to send theirs here, but those that
 * do so already keep their limits while this one keeps up.
 */
const limitedUtilization = 0.9;

/** The listener whose connections are limited. */
export interface LimitedListener {
  takeConnectionCounts(): ConnectionCounts;
  /** Sets how many connections are accepted until the next call; undefined for no limit. */
  setAcceptLimit(limit: number | undefined): void;
}

/** Dependencies of {@link ConnectionGate}. */
export interface ConnectionGateStructure {
  readonly membership: Pick<Membership, "addHeartbeatField" | "getLinked">;
  readonly log: DecisionLog;
  /** Returns the share of the time since the last call for which the event loop was busy; replaced in tests. */
  readonly takeUtilization?: () => number;
  /** Monotonic clock; replaced in tests. */
  readonly nowMs?: () => number;
}

/** What a peer has stated with its last heartbeat. */
interface PeerUtilization {
  readonly name: string;
  readonly utilization: number;
  readonly ageMs: number;
}

/**
 * Rejects the requests of new connections while this process is overloaded, since their callers can reach another instance at once. If all
 * instances are overloaded, connections are accepted, and requests are rejected with a time to return.
 */
export class ConnectionGate {
  private readonly _takeUtilization: () => number;
  private readonly _nowMs: () => number;
  private readonly _policy = new ConnectionLimitPolicy();
  /** Times at which heartbeats were first seen. */
  private readonly _seenAtMs = new WeakMap<object, number>();
  /** The latest utilizations, the last one of the last interval. */
  private _utilizations: number[] = [];

  constructor(private readonly _structure: ConnectionGateStructure) {
    this._takeUtilization = _structure.takeUtilization ?? createUtilizationMeter();
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    _structure.membership.addHeartbeatField(heartbeatField, () => this._getStatedUtilization());
  }

  /** Updates the limit periodically until `signal` aborts. */
  async run(signal: AbortSignal, listener: LimitedListener): Promise<void> {
    await utils.repeat(
      decisionIntervalMs,
      signal,
      () => this.tick(listener),
      (error) => {
        this._structure.log.error("connection-gate-failed", { cause: String(error) });
      },
    );
  }

  /** Measures the utilization, and updates the limit. */
  tick(listener: LimitedListener): void {
    const counts = listener.takeConnectionCounts();
    const utilization = this._takeUtilization();
    this._utilizations = [...this._utilizations, utilization].slice(-statedIntervals);
    const peer = this._getLeastBusyPeer();
    const before = this._policy.limit;
    this._policy.update({ ...counts, utilization, leastPeerUtilization: peer?.utilization });
    const { limit } = this._policy;
    if ((before === undefined) !== (limit === undefined)) this._log(counts, peer);
    listener.setAcceptLimit(limit);
  }

  /** Returns undefined before the first interval, so that an instance that starts does not count as one with room. */
  private _getStatedUtilization(): number | undefined {
    if (this._utilizations.length === 0) return undefined;
    const least = this._policy.limit === undefined ? 0 : limitedUtilization;
    return round(Math.max(least, mean(this._utilizations)));
  }

  private _getLeastBusyPeer(): PeerUtilization | undefined {
    let least: PeerUtilization | undefined;
    const nowMs = this._nowMs();
    for (const { name, heartbeat } of this._structure.membership.getLinked()) {
      const seenAtMs = this._seenAtMs.get(heartbeat) ?? nowMs;
      this._seenAtMs.set(heartbeat, seenAtMs);
      const utilization = heartbeat[heartbeatField];
      if (typeof utilization !== "number" || utilization >= (least?.utilization ?? Number.POSITIVE_INFINITY))
        continue;
      least = { name, utilization, ageMs: nowMs - seenAtMs };
    }
    return least;
  }

  private _log(counts: ConnectionCounts, peer: PeerUtilization | undefined): void {
    const { limit } = this._policy;
    this._structure.log.warn(limit === undefined ? "connections-unlimited" : "connections-limited", {
      utilization: round(this._utilizations.at(-1) ?? 0),
      ...counts,
      limit,
      peer: peer?.name,
      peerUtilization: peer?.utilization,
      peerAgeMs: peer === undefined ? undefined : Math.round(peer.ageMs),
    });
  }
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(utilization: number): number {
  return Math.round(utilization * 100) / 100;
}

function createUtilizationMeter(): () => number {
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    return utilization;
  };
}
