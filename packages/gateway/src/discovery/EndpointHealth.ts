import type { ProbeResult } from "@shedtiller/crashes";
import type { ActiveConfiguration } from "../configuration/ActiveConfiguration.js";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "../orders/EngineOrders.js";
import type { EndpointPaths } from "../paths/EndpointPaths.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { Endpoint } from "./Endpoint.js";
import type { EndpointTable } from "./EndpointTable.js";
import { FailureDetector } from "./FailureDetector.js";
import { LivenessCheck } from "./LivenessCheck.js";
import { SuspicionReview } from "./SuspicionReview.js";

/** Dependencies of {@link EndpointHealth}. */
export interface EndpointHealthStructure {
  readonly activeConfiguration: ActiveConfiguration;
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly exchange: Pick<PeerExchange, "broadcastSuspicion" | "broadcastLayers" | "onSuspicion">;
  readonly paths: Pick<EndpointPaths, "isIsolated" | "onIsolationChanged">;
  readonly probe: (address: string, timeoutMs: number) => Promise<ProbeResult>;
  readonly log: DecisionLog;
  /** Counts a suspicion by its cause. */
  readonly count: (cause: string) => void;
}

/** Connects the parts that decide whether endpoints work: detection, verification of the reports of peers, and the end of suspicions. */
export class EndpointHealth {
  readonly detector: FailureDetector;
  private readonly _review: SuspicionReview;

  constructor(private readonly _structure: EndpointHealthStructure) {
    const { endpoints, orders, exchange, paths, probe, log, count } = _structure;
    const liveness = new LivenessCheck({ orders, probe, isEngine: (endpoint) => this._isEngine(endpoint) });
    this.detector = new FailureDetector({
      endpoints,
      orders,
      liveness,
      log,
      broadcastSuspicion: (id, evidence, ageMs) => {
        // What an instance observes that reaches no endpoint tells nothing about any of them.
        if (!paths.isIsolated) exchange.broadcastSuspicion(id, evidence, ageMs);
      },
      broadcastLayers: (id, layers, replaced) => exchange.broadcastLayers(id, layers, replaced),
      count,
    });
    this._review = new SuspicionReview({ endpoints, liveness, log });
    paths.onIsolationChanged((isIsolated) => {
      if (!isIsolated) this._review.checkSoon();
    });
    exchange.onSuspicion((id, suspicion) => void this.detector.noteReportedByPeer(id, suspicion));
  }

  /** Reviews suspicions until `signal` aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this._review.run(signal);
  }

  /** Reports a crashed endpoint to the failure detector, so that it receives no new requests and the leader replaces its layers. */
  noteCrash(endpoint: Endpoint): void {
    const isKnown = this._structure.endpoints.get(endpoint.id) === endpoint;
    if (isKnown) this.detector.noteUnresponsive(endpoint.id, "crashed", "lost");
  }

  private _isEngine({ listed }: Endpoint): boolean {
    const { table } = this._structure.activeConfiguration;
    return table?.getEngineProfile(listed.service) !== undefined;
  }
}
