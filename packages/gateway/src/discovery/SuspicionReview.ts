import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Endpoint } from "./Endpoint.js";
import type { EndpointTable } from "./EndpointTable.js";
import type { LivenessCheck } from "./LivenessCheck.js";

const tickMs = 200;
/** Time between two checks of an endpoint, doubled after each one without an answer up to the maximum. */
const firstIntervalMs = 400;
const maxIntervalMs = 1_600;
/** Maximum number of checks at a time, so that an instance whose links return does not connect to all endpoints at once. */
const maxRunning = 8;

interface ReviewState {
  intervalMs: number;
  dueAtMs: number;
}

/** Dependencies of {@link SuspicionReview}. */
export interface SuspicionReviewStructure {
  readonly endpoints: EndpointTable;
  readonly liveness: Pick<LivenessCheck, "run">;
  readonly log: DecisionLog;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Checks suspected endpoints repeatedly, and withdraws the suspicion at the first answer. The duration of suspicions doubles, so that
 * without the check an endpoint would stay unused for up to 24 s after the network path to it has returned.
 */
export class SuspicionReview {
  private readonly _states = new Map<Endpoint, ReviewState>();
  private readonly _nowMs: () => number;
  private _running = 0;

  constructor(private readonly _structure: SuspicionReviewStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Checks the suspected endpoints periodically until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return utils.repeat(
      tickMs,
      signal,
      () => void this.checkDue(),
      (error) => this._structure.log.error("suspicion-review-failed", { cause: String(error) }),
    );
  }

  /** Makes the checks of all suspected endpoints due, since what led to the suspicions may have been a fault of this instance. */
  checkSoon(): void {
    for (const state of this._states.values()) state.dueAtMs = Math.min(state.dueAtMs, this._nowMs());
  }

  /** Starts the checks that are due; resolves once they are complete. */
  async checkDue(): Promise<void> {
    const nowMs = this._nowMs();
    const suspected = this._structure.endpoints.getAll().filter((endpoint) => endpoint.isSuspect(nowMs));
    for (const endpoint of this._states.keys())
      if (!suspected.includes(endpoint)) this._states.delete(endpoint);
    const due = suspected.filter((endpoint) => nowMs >= this._getState(endpoint, nowMs).dueAtMs);
    due.sort((a, b) => this._getState(a, nowMs).dueAtMs - this._getState(b, nowMs).dueAtMs);
    await Promise.all(due.slice(0, maxRunning - this._running).map((endpoint) => this._check(endpoint)));
  }

  private _getState(endpoint: Endpoint, nowMs: number): ReviewState {
    const known = this._states.get(endpoint);
    if (known !== undefined) return known;
    const state = { intervalMs: firstIntervalMs, dueAtMs: nowMs + firstIntervalMs };
    this._states.set(endpoint, state);
    return state;
  }

  private async _check(endpoint: Endpoint): Promise<void> {
    const state = this._getState(endpoint, this._nowMs());
    state.dueAtMs = Number.POSITIVE_INFINITY;
    this._running += 1;
    const evidence = await this._structure.liveness.run(endpoint);
    this._running -= 1;
    state.intervalMs = Math.min(maxIntervalMs, 2 * state.intervalMs);
    state.dueAtMs = this._nowMs() + state.intervalMs;
    const { endpoints, log } = this._structure;
    if (evidence !== undefined || endpoints.get(endpoint.id) !== endpoint) return;
    endpoints.clear(endpoint.id);
    log.info("endpoint-answers-again", { endpointId: endpoint.id, address: endpoint.listed.address });
  }
}
