import { errors, results } from "@shedtiller/common";
import type { ProbeResult } from "@shedtiller/crashes";
import type { EngineOrders, OrderError } from "../orders/EngineOrders.js";
import type { Endpoint } from "./Endpoint.js";
import { EndpointQuestions } from "./EndpointQuestions.js";
import { HeldUpError } from "./HeldUpError.js";
import { getEvidence, type SuspicionEvidence } from "./SuspicionEvidence.js";

/** Timeout of a check: endpoints answer at once, and links take a few milliseconds. */
const checkTimeoutMs = 150;
/** Number of checks of which the last one has no result if this process is held up during each of them. */
const maxTries = 3;

/** Dependencies of {@link LivenessCheck}. */
export interface LivenessCheckStructure {
  readonly orders: Pick<EngineOrders, "getReport">;
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  /** Whether an endpoint answers report requests. */
  readonly isEngine: (endpoint: Endpoint) => boolean;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** Result of a check: the evidence against the endpoint, or that it answers, or nothing if this process was held up. */
export type Liveness = SuspicionEvidence | "answers" | "unknown";

/** Checks from this instance whether an endpoint works, since what a peer has observed may be due to the peer's own network path. */
export class LivenessCheck {
  private readonly _questions: EndpointQuestions;

  constructor(private readonly _structure: LivenessCheckStructure) {
    const { nowMs } = _structure;
    this._questions = new EndpointQuestions(nowMs === undefined ? {} : { nowMs });
  }

  async run(endpoint: Endpoint): Promise<Liveness> {
    let liveness: Liveness = "unknown";
    for (let tries = 0; tries < maxTries && liveness === "unknown"; tries++)
      liveness = await this._checkOnce(endpoint);
    return liveness;
  }

  private async _checkOnce(endpoint: Endpoint): Promise<Liveness> {
    const { orders, isEngine } = this._structure;
    const result = await this._questions.ask<unknown, OrderError>(checkTimeoutMs, (limitMs) =>
      isEngine(endpoint)
        ? orders.getReport(endpoint.orderTarget, limitMs)
        : this._probe(endpoint.listed.address, limitMs),
    );
    if (result.ok) return "answers";
    return result.val instanceof HeldUpError ? "unknown" : getEvidence(result.val);
  }

  /** Checks a plain endpoint by connecting to it, since its health check would take one of its slots. */
  private async _probe(address: string, limitMs: number): Promise<results.Result<void, OrderError>> {
    const result = await this._structure.probe(address, limitMs);
    if (result === "open") return results.Ok(undefined);
    if (result === "nothing") return results.Err(new errors.DeadlineError(address, limitMs));
    return results.Err(new errors.NotReachedError(address, createRefusal()));
  }
}

function createRefusal(): Error {
  return Object.assign(new Error("The connection was refused."), { code: "ECONNREFUSED" });
}
