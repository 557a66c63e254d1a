import type { ProbeResult } from "@shedtiller/crashes";
import type { EngineOrders } from "../orders/EngineOrders.js";
import type { Endpoint } from "./Endpoint.js";
import { getEvidence, type SuspicionEvidence } from "./SuspicionEvidence.js";

/** Timeout of a check: endpoints answer at once, and links take a few milliseconds. */
const checkTimeoutMs = 150;

/** Dependencies of {@link LivenessCheck}. */
export interface LivenessCheckStructure {
  readonly orders: Pick<EngineOrders, "getReport">;
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  /** Whether an endpoint answers report requests. */
  readonly isEngine: (endpoint: Endpoint) => boolean;
}

/** Checks from this instance whether an endpoint works, since what a peer has observed may be due to the peer's own network path. */
export class LivenessCheck {
  constructor(private readonly _structure: LivenessCheckStructure) {}

  /** Returns the evidence against the endpoint, or undefined if it answers. */
  async run(endpoint: Endpoint): Promise<SuspicionEvidence | undefined> {
    const { orders, isEngine } = this._structure;
    if (!isEngine(endpoint)) return this._probe(endpoint);
    const report = await orders.getReport(endpoint.orderTarget, checkTimeoutMs);
    return report.ok ? undefined : getEvidence(report.val);
  }

  /** Checks a plain endpoint by connecting to it, since its health check would take one of its slots. */
  private async _probe(endpoint: Endpoint): Promise<SuspicionEvidence | undefined> {
    const result = await this._structure.probe(endpoint.listed.address, checkTimeoutMs);
    if (result === "open") return undefined;
    return result === "refused" ? "lost" : "unanswered";
  }
}
