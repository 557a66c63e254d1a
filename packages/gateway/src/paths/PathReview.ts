import { utils } from "@shedtiller/common";
import { checkTickMs, firstCheckIntervalMs, RepeatedChecks } from "../discovery/RepeatedChecks.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EndpointPaths } from "./EndpointPaths.js";
import type { PathConnector } from "./PathConnector.js";

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

/** Tries lost paths until they work again, and finds out whether an instance that reaches no endpoint is isolated. */
export class PathReview {
  private readonly _lostPathTries: RepeatedChecks<string>;
  private readonly _nowMs: () => number;
  private readonly _random: () => number;
  private _otherDueAtMs = 0;
  private _isSampling = false;

  constructor(private readonly _structure: PathReviewStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._random = _structure.random ?? Math.random;
    this._lostPathTries = new RepeatedChecks((address) => this._tryLostPath(address), this._nowMs);
  }

  /** Reviews the paths periodically until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return utils.repeat(
      checkTickMs,
      signal,
      () => void this.review(),
      (error) => this._structure.log.error("path-review-failed", { cause: String(error) }),
    );
  }

  /** Starts the tries that are due; resolves once they are complete. */
  async review(): Promise<void> {
    const tries = this._lostPathTries.checkDue(this._structure.paths.lostAddresses);
    await Promise.all([tries, this._tryOtherPath(), this._sampleEndpoints()]);
  }

  /** Tries a path that is not lost while this instance counts as cut off, since only some paths may be lost. */
  private async _tryOtherPath(): Promise<void> {
    const { paths, connector } = this._structure;
    const nowMs = this._nowMs();
    if (!paths.isCutOff || nowMs < this._otherDueAtMs) return;
    this._otherDueAtMs = nowMs + firstCheckIntervalMs;
    const others = paths.listedAddresses.filter((address) => !paths.isLost(address));
    const [address] = utils.sample(others, 1, this._random);
    if (address !== undefined) await connector.tryDirectPath(address);
  }

  private async _tryLostPath(address: string): Promise<void> {
    // Paths are mostly lost and regained together.
    if (await this._structure.connector.tryDirectPath(address)) this._lostPathTries.makeDue();
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
