import { utils } from "@shedtiller/common";
import type { ChainStage } from "../http/MessageCodec.js";

/** Restarts that are at most this far apart have a common cause; instances know the load of others about as late. */
const windowMs = 400;

/** What is assumed of the other instances while they restart streams as well. */
export interface AssumedRestarts {
  /** Number of instances that choose a chain at the same moment as this one. */
  readonly peers: number;
  /** Returns how many streams each of them has just placed at an engine, as this instance has. */
  readonly getPlaced: (endpointId: string) => number;
}

interface Placement {
  readonly endpointId: string;
  readonly atMs: number;
}

/**
 * Records the streams that this instance sends again. An engine that is lost cuts the streams of all instances at the same moment, and each
 * of them knows the load of the others only as it was before; it therefore assumes that the others do what it does itself.
 */
export class ConcurrentRestarts {
  private _placements: Placement[] = [];

  /**
   * @param _getInstanceCount - Number of instances, including this one; undefined while unknown.
   * @param _nowMs - Monotonic clock; replaced in tests.
   */
  constructor(
    private readonly _getInstanceCount: () => number | undefined,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Records the engines of a chain at which a stream is sent again. */
  notePlaced(stages: readonly ChainStage[]): void {
    const nowMs = this._nowMs();
    this._placements = this._placements.filter(({ atMs }) => nowMs - atMs < windowMs);
    for (const { endpointId } of stages) this._placements.push({ endpointId, atMs: nowMs });
  }

  /** Returns what to assume of the other instances while this one sends a stream again. */
  getAssumed(): AssumedRestarts {
    const oldestMs = this._nowMs() - windowMs;
    const recent = this._placements.filter(({ atMs }) => atMs > oldestMs);
    return {
      peers: Math.max(0, (this._getInstanceCount() ?? 1) - 1),
      getPlaced: (endpointId) => recent.filter((placement) => placement.endpointId === endpointId).length,
    };
  }
}
