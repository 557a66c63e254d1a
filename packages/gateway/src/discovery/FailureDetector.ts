import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "../orders/EngineOrders.js";
import type { Endpoint } from "./Endpoint.js";
import { EndpointQuestions } from "./EndpointQuestions.js";
import type { EndpointTable } from "./EndpointTable.js";
import { HeldUpError } from "./HeldUpError.js";
import type { LayerSpan } from "./ListedEndpoint.js";
import type { LivenessCheck } from "./LivenessCheck.js";
import { getEvidence, isStronger, type SuspicionEvidence } from "./SuspicionEvidence.js";

/** Timeout of report requests: engines answer them at once, and links take a few milliseconds. */
const reportTimeoutMs = 150;
/**
 * Time for which this instance sends no new requests to an engine that another engine reported as faulty, but that still answers. Such an
 * engine lacks capacity or cannot be reached by its neighbour.
 */
const reportedBackoffMs = 600;

/** How long an engine gets no new work while its layers are being queried, and after a query without a result. */
const layersBackoffMs = 300;

/**
 * An answer that arrived at least this long after the beginning of a peer's failed attempt shows that the endpoint works: it would have
 * answered the attempt as well, if that had reached it.
 */
const answerMarginMs = 50;

/** A suspicion that a peer reports. */
export interface ReportedSuspicion {
  readonly evidence: SuspicionEvidence;
  /** Time since the beginning of the peer's failed attempt. */
  readonly ageMs: number;
  /** Name of the peer. */
  readonly reporter: string;
}

/** Dependencies of {@link FailureDetector}. */
export interface FailureDetectorStructure {
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  readonly liveness: Pick<LivenessCheck, "run">;
  /** Reports a suspicion to the peers, with the time since the beginning of the failed attempt. */
  readonly broadcastSuspicion: (endpointId: string, evidence: SuspicionEvidence, ageMs: number) => void;
  /** Reports to the peers which layers an engine has loaded, if the list contains others, which they replace. */
  readonly broadcastLayers: (
    endpointId: string,
    layers: readonly LayerSpan[],
    replaced: readonly LayerSpan[],
  ) => void;
  /** Counts a suspicion by its cause. */
  readonly count: (cause: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/**
 * Failure detector for endpoints: broadcasts a suspicion to the peers if this instance has observed the failure itself, and verifies the
 * reports of engines and peers with the endpoint. What one instance observes may be due to its own network path.
 */
export class FailureDetector {
  private readonly _nowMs: () => number;
  private readonly _questions: EndpointQuestions;
  /** Endpoints whose layers are being queried. */
  private readonly _queried = new Set<Endpoint>();
  /** Endpoints that are being checked because of a peer's report. */
  private readonly _checked = new Set<Endpoint>();

  constructor(private readonly _structure: FailureDetectorStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
    this._questions = new EndpointQuestions({ nowMs: this._nowMs });
  }

  /**
   * Records that an endpoint did not answer this instance, or has crashed.
   * @param attemptedAtMs - Monotonic time at which the failed attempt began; by default now.
   */
  noteUnresponsive(
    endpointId: string,
    reason: string,
    evidence: SuspicionEvidence = "unanswered",
    attemptedAtMs = this._nowMs(),
  ): void {
    if (!this._suspect(endpointId, reason, evidence)) return;
    this._structure.broadcastSuspicion(endpointId, evidence, this._nowMs() - attemptedAtMs);
  }

  /**
   * Records a suspicion that a peer reports, and resolves once it is verified. The endpoint gets no new work until it has answered this
   * instance, so that the report of a real failure has an effect at once; streams leave a lost endpoint only after the verification.
   */
  async noteReportedByPeer(
    endpointId: string,
    { evidence, ageMs, reporter }: ReportedSuspicion,
  ): Promise<void> {
    const { endpoints, liveness, log } = this._structure;
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined) return;
    const nowMs = this._nowMs();
    if (endpoint.heardAtMs > nowMs - ageMs + answerMarginMs) return;
    const isNew = endpoints.suspect(endpointId, evidence === "lost" ? "unanswered" : evidence);
    if (!isNew && !isStronger(evidence, endpoint.evidence)) return;
    const { address } = endpoint.listed;
    const heardMsAgo = Math.round(nowMs - endpoint.heardAtMs);
    log.warn("endpoint-suspicion-reported", { endpointId, address, evidence, reporter, heardMsAgo });
    if (this._checked.has(endpoint)) return;
    this._checked.add(endpoint);
    const own = await liveness.run(endpoint);
    this._checked.delete(endpoint);
    if (endpoints.get(endpointId) !== endpoint || own === "unknown") return;
    if (own !== "answers")
      return void endpoints.suspect(endpointId, isStronger(evidence, own) ? evidence : own);
    endpoints.clear(endpointId);
    log.info("endpoint-suspicion-refuted", { endpointId, address, evidence, reporter });
  }

  /** Records that another engine reported this engine as faulty; resolves once the engine has been queried. */
  async noteReportedFaulty(endpointId: string, reason: string): Promise<void> {
    const { endpoints, liveness, broadcastSuspicion, log } = this._structure;
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined || !this._suspect(endpointId, reason, "reported")) return;
    const attemptedAtMs = this._nowMs();
    const evidence = await liveness.run(endpoint);
    // The suspicion stays until its review.
    if (evidence === "unknown") return;
    if (evidence !== "answers") {
      endpoints.suspect(endpointId, evidence);
      return broadcastSuspicion(endpointId, evidence, this._nowMs() - attemptedAtMs);
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
    const attemptedAtMs = this._nowMs();
    const report = await this._questions.ask(reportTimeoutMs, (limitMs) =>
      orders.getReport(endpoint.orderTarget, limitMs),
    );
    this._queried.delete(endpoint);
    if (report.err) {
      // The next request that the engine rejects repeats the query.
      if (report.val instanceof HeldUpError) return;
      const reason = `holds other layers: ${report.val.code}`;
      return this.noteUnresponsive(endpointId, reason, getEvidence(report.val), attemptedAtMs);
    }
    const replaced = endpoint.listed.layers;
    if (!endpoints.setLayers(endpoint, report.val.layers)) return;
    endpoint.avoidedUntilMs = 0;
    broadcastLayers(endpointId, report.val.layers, replaced);
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
