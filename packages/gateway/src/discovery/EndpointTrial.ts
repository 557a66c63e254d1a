import type { Endpoint } from "./Endpoint.js";
import type { EndpointTable } from "./EndpointTable.js";

/** Time between a trial without a result and the next one. A request whose trial fails at once would otherwise repeat it in a loop. */
const trialIntervalMs = 450;

/** A request that tests whether an endpoint in doubt works. */
export class EndpointTrial {
  private readonly _startedAtMs: number;
  private _isOver = false;

  /** @param _nowMs - Monotonic clock. */
  constructor(
    private readonly _endpoints: Pick<EndpointTable, "get" | "clear">,
    private readonly _endpoint: Endpoint,
    private readonly _nowMs: () => number,
  ) {
    this._startedAtMs = _nowMs();
    _endpoint.trials += 1;
    _endpoint.triedAtMs = this._startedAtMs;
  }

  /** Ends the trial, and withdraws the suspicion, since the request has passed the endpoint. */
  pass(): void {
    if (!this._tryEnd()) return;
    const { id, evidence, suspectedAtMs } = this._endpoint;
    const isCurrent = this._endpoints.get(id) === this._endpoint && suspectedAtMs <= this._startedAtMs;
    if (isCurrent && evidence !== "lost") this._endpoints.clear(id);
  }

  /** Ends the trial without a result. */
  end(): void {
    if (this._tryEnd()) this._endpoint.nextTrialAtMs = this._nowMs() + trialIntervalMs;
  }

  private _tryEnd(): boolean {
    if (this._isOver) return false;
    this._isOver = true;
    this._endpoint.trials -= 1;
    return true;
  }
}
