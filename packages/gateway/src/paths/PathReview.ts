import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EndpointPaths } from "./EndpointPaths.js";
import type { PathConnector } from "./PathConnector.js";

const tickMs = 200;
/** Time between two tries of a lost path, doubled after each one up to the maximum. */
const firstIntervalMs = 400;
const maxIntervalMs = 1_600;
/** Maximum number of tries at a time, so that no storm of connections follows when all paths return at once. */
const maxRunning = 8;
/** Number of endpoints that are tried at a time while none may be within reach. */
const sampledEndpoints = 6;

/** Dependencies of {@link PathReview}. */
export interface PathReviewStructure {
  readonly paths: EndpointPaths;
  readonly connector: Pick<PathConnector, "connect" | "tryDirectPath">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
  /** Returns a random number from 0 to 1, replaced in tests. */
  readonly random?: () => number;
}

interface Schedule {
  intervalMs: number;
  dueAtMs: number;
}

/** Tries lost paths until they work again, and finds out whether an instance that reaches no endpoint is isolated. */
export class PathReview {
  private readonly _schedules = new Map<string, Schedule>();
  private readonly _nowMs: () => number;
  private readonly _random: () => number;
  private _running = 0;
  private _otherDueAtMs = 0;
  private _isSampling = false;

  constructor(private readonly _structure: PathReviewStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
  }

  /** Reviews the paths periodically until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return utils.repeat(
      tickMs,
      signal,
      () => void this.review(),
      (error) => this._structure.log.error("path-review-failed", { cause: String(error) }),
    );
  }

  /** Starts the tries that are due; resolves once they are complete. */
  async review(): Promise<void> {
    await Promise.all([this._tryLostPaths(), this._tryOtherPath(), this._sampleEndpoints()]);
  }

  /** Tries a path that is not lost while this instance counts as cut off, since only some paths may be lost. */
  private async _tryOtherPath(): Promise<void> {
    const { paths, connector } = this._structure;
    const nowMs = this._nowMs();
    if (!paths.isCutOff || nowMs < this._otherDueAtMs) return;
    this._otherDueAtMs = nowMs + firstIntervalMs;
    const others = paths.listedAddresses.filter((address) => !paths.isLost(address));
    const [address] = utils.sample(others, 1, this._random);
    if (address !== undefined) await connector.tryDirectPath(address);
  }

  private async _tryLostPaths(): Promise<void> {
    const nowMs = this._nowMs();
    const lost = this._structure.paths.lostAddresses;
    for (const address of this._schedules.keys())
      if (!lost.includes(address)) this._schedules.delete(address);
    const due = lost.filter((address) => nowMs >= this._getSchedule(address).dueAtMs);
    due.sort((a, b) => this._getSchedule(a).dueAtMs - this._getSchedule(b).dueAtMs);
    await Promise.all(due.slice(0, maxRunning - this._running).map((address) => this._try(address)));
  }

  private async _try(address: string): Promise<void> {
    const schedule = this._getSchedule(address);
    schedule.dueAtMs = Number.POSITIVE_INFINITY;
    this._running += 1;
    const isRegained = await this._structure.connector.tryDirectPath(address);
    this._running -= 1;
    const nowMs = this._nowMs();
    schedule.intervalMs = Math.min(maxIntervalMs, 2 * schedule.intervalMs);
    schedule.dueAtMs = nowMs + schedule.intervalMs;
    // Paths are mostly lost and regained together.
    if (isRegained)
      for (const other of this._schedules.values()) other.dueAtMs = Math.min(other.dueAtMs, nowMs);
  }

  private _getSchedule(address: string): Schedule {
    const known = this._schedules.get(address);
    if (known !== undefined) return known;
    const schedule = { intervalMs: firstIntervalMs, dueAtMs: this._nowMs() + firstIntervalMs };
    this._schedules.set(address, schedule);
    return schedule;
  }

  /** Tries a sample of all endpoints while none may be within reach, until one is reached. */
  private async _sampleEndpoints(): Promise<void> {
    const { paths, connector } = this._structure;
    if (this._isSampling || !(paths.mayBeIsolated || paths.isIsolated)) return;
    this._isSampling = true;
    const startedAtMs = this._nowMs();
    const addresses = utils.sample(paths.listedAddresses, sampledEndpoints, this._random);
    const results = await Promise.all(addresses.map((address) => connector.connect(address)));
    for (const connected of results) if (connected.ok) connected.val.socket.destroy();
    this._isSampling = false;
    if (addresses.length > 0) paths.confirmIsolation(startedAtMs);
  }
}
