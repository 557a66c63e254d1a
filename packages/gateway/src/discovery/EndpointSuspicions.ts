/** Weighs evidence against endpoints: what is sure is told to the peers, what is hearsay is checked with the endpoint itself. */
import { utils } from "@shedtiller/common";
import type { DecisionLog } from "../logs/DecisionLog.js";
import type { EngineOrders } from "../orders/EngineOrders.js";
import type { EndpointTable } from "./EndpointTable.js";

/** Engines answer questions for their report at once; links take a few milliseconds. */
const reportTimeoutMs = 150;
/** An engine that was named and yet answers is short of room, or out of reach for its neighbour: it is left alone for this long. */
const namedBackoffMs = 600;

/** What suspicions work with. */
export interface EndpointSuspicionsStructure {
  readonly endpoints: EndpointTable;
  readonly orders: EngineOrders;
  readonly log: DecisionLog;
  readonly tellPeers: (endpointId: string) => void;
  /** Counts a suspicion by its cause. */
  readonly count: (cause: string) => void;
  /** Monotonic clock, replaced in tests. */
  readonly nowMs?: () => number;
}

/** One for an instance. */
export class EndpointSuspicions {
  private readonly _nowMs: () => number;

  constructor(private readonly _structure: EndpointSuspicionsStructure) {
    this._nowMs = _structure.nowMs ?? utils.monotonicMs;
  }

  /** Notes that an endpoint did not answer this instance. */
  noteSilent(endpointId: string, reason: string): void {
    if (this._suspect(endpointId, reason)) this._structure.tellPeers(endpointId);
  }

  /** Notes that another engine named this one; resolves once the engine was asked. */
  async noteNamed(endpointId: string, reason: string): Promise<void> {
    const { endpoints, orders, tellPeers, log } = this._structure;
    const endpoint = endpoints.get(endpointId);
    if (endpoint === undefined || !this._suspect(endpointId, reason)) return;
    const target = { id: endpointId, address: endpoint.listed.address };
    const report = await orders.getReport(target, reportTimeoutMs);
    if (report.err) return tellPeers(endpointId);
    endpoints.clear(endpointId);
    endpoint.refusedUntilMs = this._nowMs() + namedBackoffMs;
    log.info("endpoint-answers", { endpointId, address: endpoint.listed.address, reason });
  }

  private _suspect(endpointId: string, reason: string): boolean {
    const { endpoints, log, count } = this._structure;
    const endpoint = endpoints.get(endpointId);
    if (!endpoints.suspect(endpointId)) return false;
    count(reason.split(" ")[0] ?? "");
    log.warn("endpoint-suspected", { endpointId, address: endpoint?.listed.address, reason });
    return true;
  }
}
