/** Limit on new connections of callers while this process is overloaded and another instance is not. */
import { performance } from "node:perf_hooks";
import { utils } from "@shedtiller/common";
import type { Membership } from "@shedtiller/membership";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { ConnectionCounts } from "./NewConnectionLimit.js";

/** Interval of the ticks, which coincide with those of the check of streams. */
const tickMs = 200;
/**
 * Share of its time for which the event loop is busy from which the process counts as overloaded. Connections then wait to be accepted, and
 * the delay of the loop shows nothing of it, since only a few are accepted in each of its turns.
 */
const overloadUtilization = 0.95;
/** Consecutive intervals of overload before the limit begins; a shorter overload, as by one large message, ends by itself. */
const overloadTicks = 3;
/** Utilization below which more connections are accepted, so that the process is kept busy. */
const relaxedUtilization = 0.85;
/** A peer whose utilization is at most this can take over connections. */
const peerUtilization = 0.6;
/** Factors by which the limit changes with each interval; it falls faster than it rises, since accepted connections bring requests for long. */
const decreaseFactor = 0.7;
const increaseFactor = 1.1;
/**
 * Least number of connections that are accepted in an interval, so that an instance which counts as ready never seems to have stopped to
 * accept connections.
 */
const minAccepted = 2;
/** Number of intervals without a refused connection after which the limit ends. */
const ticksWithoutRefusals = 10;
const heartbeatField = "utilization";

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
}

/**
 * Rejects the requests of new connections while this process is overloaded, since their callers can reach another instance at once. If all
 * instances are overloaded, connections are accepted, and requests are rejected with a time to return.
 */
export class ConnectionGate {
  private readonly _takeUtilization: () => number;
  private _utilization = 0;
  private _overloadedTicks = 0;
  private _unrefusedTicks = 0;
  private _limit: number | undefined;

  constructor(private readonly _structure: ConnectionGateStructure) {
    this._takeUtilization = _structure.takeUtilization ?? createUtilizationMeter();
    _structure.membership.addHeartbeatField(heartbeatField, () => this._getRoundedUtilization());
  }

  /** Updates the limit periodically until `signal` aborts. */
  async run(signal: AbortSignal, listener: LimitedListener): Promise<void> {
    await utils.repeat(
      tickMs,
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
    this._utilization = this._takeUtilization();
    this._overloadedTicks = this._utilization >= overloadUtilization ? this._overloadedTicks + 1 : 0;
    const before = this._limit;
    this._limit = before === undefined ? this._getFirstLimit(counts) : this._getNextLimit(before, counts);
    if ((before === undefined) !== (this._limit === undefined)) this._log(counts);
    listener.setAcceptLimit(this._limit === undefined ? undefined : Math.floor(this._limit));
  }

  private _getFirstLimit({ accepted }: ConnectionCounts): number | undefined {
    if (this._overloadedTicks < overloadTicks || !this._hasPeerWithRoom()) return undefined;
    this._unrefusedTicks = 0;
    return Math.max(minAccepted, accepted * decreaseFactor);
  }

  private _getNextLimit(limit: number, { refused }: ConnectionCounts): number | undefined {
    this._unrefusedTicks = refused > 0 ? 0 : this._unrefusedTicks + 1;
    if (this._unrefusedTicks >= ticksWithoutRefusals || !this._hasPeerWithRoom()) return undefined;
    if (this._utilization >= overloadUtilization) return Math.max(minAccepted, limit * decreaseFactor);
    return this._utilization < relaxedUtilization ? limit * increaseFactor : limit;
  }

  private _hasPeerWithRoom(): boolean {
    return this._structure.membership.getLinked().some(({ heartbeat }) => {
      const utilization = heartbeat[heartbeatField];
      return typeof utilization === "number" && utilization <= peerUtilization;
    });
  }

  private _log({ accepted, refused }: ConnectionCounts): void {
    const message = this._limit === undefined ? "connections-unlimited" : "connections-limited";
    this._structure.log.warn(message, { utilization: this._getRoundedUtilization(), accepted, refused });
  }

  private _getRoundedUtilization(): number {
    return Math.round(this._utilization * 100) / 100;
  }
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
