import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "../orders/EngineOrders.js";
import type { Endpoint } from "./Endpoint.js";
import type { EndpointTable } from "./EndpointTable.js";
import type { LayerSpan } from "./ListedEndpoint.js";
import { getEvidence, type SuspicionEvidence } from "./SuspicionEvidence.js";

/** Timeout of report requests: engines answer them at once, and links take a few milliseconds. */
const reportTimeoutMs = 150;
/**
 * Time for which this instance sends no new requests to an engine that another engine reported as faulty, but that still answers. Such an
 * engine lacks capacity or cannot be reached by its neighbour.
 */
const reportedBackoffMs = 600;

/** How long an engine gets no new work while its layers are being queried, and after a query without a result. */
const layersBackoffMs = 300;

/** Dependencies of {@link FailureDetector}. */
export interface FailureDetectorStructure {
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  readonly broadcastSuspicion: (endpointId: string, evidence: SuspicionEvidence) => void;
  /** Reports to the peers which layers an engine has loaded, if the list contains others. */
  readonly broadcastLayers: (endpointId: string, layers: readonly LayerSpan[]) => void;
  /** Counts a suspicion by its cause. */
  readonly count: (cause: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Failure detector for endpoints: broadcasts a suspicion to the peers if this instance has observed the failure itself, and verifies the
 * reports of other engines with the endpoint first.
 */
export class FailureDetector {
  private readonly _nowMs: () => number;
  /** Endpoints whose layers are being queried. */
  private readonly _queried = new Set<Endpoint>();

  constructor(private readonly _structure: FailureDetectorStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Records that an endpoint did not answer this instance, or has crashed. */
  noteUnresponsive(endpointId: string, reason: string, evidence: SuspicionEvidence = "unanswered"): void {
    if (this._suspect(endpointId, reason, evidence)) this._structure.broadcastSuspicion(endpointId, evidence);
  }

  /** Records that another engine reported this engine as faulty; resolves once the engine has been queried. */
  async noteReportedFaulty(endpointId: string, reason: string): Promise<void> {
    const { endpoints, orders, broadcastSuspicion, log } = this._structure;
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined || !this._suspect(endpointId, reason, "reported")) return;
    const report = await orders.getReport(endpoint.orderTarget, reportTimeoutMs);
    if (report.err) {
      const evidence = getEvidence(report.val);
      endpoints.suspect(endpointId, evidence);
      return broadcastSuspicion(endpointId, evidence);
    }
    endpoints.clear(endpointId);
    endpoint.avoidedUntilMs = this._nowMs() + reportedBackoffMs;
    log.info("endpoint-answers", { endpointId, address: endpoint.listed.address, reason });
  }

  /**
   * Records that an engine rejected a request because it has not loaded the layers that the list states; resolves once its layers have been
   * queried.
   *
   * A restarted engine stays in the list with its previous layers for up to 2 s, and attracts requests because it appears to be the
   * fastest. When five of 36 engines in three zones restarted and were merely treated as full, only 6 % of the requests were served in time
   * for two seconds.
   */
  async noteLayersMissing(endpointId: string): Promise<void> {
    const { endpoints, orders, log, broadcastLayers } = this._structure;
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined || this._queried.has(endpoint)) return;
    this._queried.add(endpoint);
    endpoint.avoidedUntilMs = this._nowMs() + layersBackoffMs;
    const { address } = endpoint.listed;
    const report = await orders.getReport(endpoint.orderTarget, reportTimeoutMs);
    this._queried.delete(endpoint);
    if (report.err) {
      const reason = `holds other layers: ${report.val.code}`;
      return this.noteUnresponsive(endpointId, reason, getEvidence(report.val));
    }
    if (!endpoints.setLayers(endpoint, report.val.layers)) return;
    endpoint.avoidedUntilMs = 0;
    broadcastLayers(endpointId, report.val.layers);
    log.info("endpoint-holds-other-layers", { endpointId, address });
  }

  private _suspect(endpointId: string, reason: string, evidence: SuspicionEvidence): boolean {
    const { endpoints, log, count } = this._structure;
    const endpoint = endpoints.get(endpointId);
    if (!endpoints.suspect(endpointId, evidence)) return false;
    count(reason.split(" ")[0] ?? "");
    log.warn("endpoint-suspected", { endpointId, address: endpoint?.listed.address, reason, evidence });
    return true;
  }
}
