import { utils } from "@shedtiller/common";

/** Restarts that are at most this far apart have a common cause; instances know the load of others about as late. */
const windowMs = 400;

/**
 * Estimates how many streams other instances send again at the same moment as this one. An engine that is lost cuts the streams of all
 * instances, and each of them knows the load of the others only as it was before.
 */
export class ConcurrentRestarts {
  /** Monotonic times of the recent restarts of this instance. */
  private _restartedAtMs: number[] = [];

  /**
   * @param _getInstanceCount - Number of instances, including this one; undefined while unknown.
   * @param _nowMs - Monotonic clock; replaced in tests.
   */
  constructor(
    private readonly _getInstanceCount: () => number | undefined,
    private readonly _nowMs: () => number = utils.monotonicMs,
  ) {}

  /** Records that this instance sends a stream again. */
  note(): void {
    const nowMs = this._nowMs();
    this._restartedAtMs = this._restartedAtMs.filter((atMs) => nowMs - atMs < windowMs);
    this._restartedAtMs.push(nowMs);
  }

  /** Returns the expected number of streams that other instances have sent again since their loads were last known. */
  getPeers(): number {
    const oldestMs = this._nowMs() - windowMs;
    const own = this._restartedAtMs.filter((atMs) => atMs > oldestMs).length;
    return own * Math.max(0, (this._getInstanceCount() ?? 1) - 1);
  }
}
