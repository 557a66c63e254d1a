import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { Endpoint } from "./Endpoint.js";
import type { EndpointTable } from "./EndpointTable.js";
import type { LivenessCheck } from "./LivenessCheck.js";
import { checkTickMs, RepeatedChecks } from "./RepeatedChecks.js";

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
  private readonly _checks: RepeatedChecks<Endpoint>;
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: SuspicionReviewStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._checks = new RepeatedChecks((endpoint) => this._check(endpoint), this._nowMs);
  }

  /** Checks the suspected endpoints periodically until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return utils.repeat(
      checkTickMs,
      signal,
      () => void this.checkDue(),
      (error) => this._structure.log.error("suspicion-review-failed", { cause: String(error) }),
    );
  }

  /** Makes the checks of all suspected endpoints due, since what led to the suspicions may have been a fault of this instance. */
  checkSoon(): void {
    this._checks.makeDue();
  }

  /** Starts the checks that are due; resolves once they are complete. */
  checkDue(): Promise<void> {
    const nowMs = this._nowMs();
    return this._checks.checkDue(
      this._structure.endpoints.getAll().filter((endpoint) => endpoint.isSuspect(nowMs)),
    );
  }

  private async _check(endpoint: Endpoint): Promise<void> {
    const { endpoints, liveness, log } = this._structure;
    const result = await liveness.run(endpoint);
    if (result !== "answers" || endpoints.get(endpoint.id) !== endpoint) return;
    endpoints.clear(endpoint.id);
    log.info("endpoint-answers-again", { endpointId: endpoint.id, address: endpoint.listed.address });
  }
}
