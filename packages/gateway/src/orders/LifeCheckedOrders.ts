import { results } from "@shedtiller/common";
import type { EndpointTable } from "../discovery/EndpointTable.js";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";
import type { ChainStage } from "../http/MessageCodec.js";
import {
  EarlierLifeError,
  EngineOrders,
  type EngineReport,
  type OrderError,
  type OrderTarget,
} from "./EngineOrders.js";

/**
 * Wraps the platform's orders for engines whose processes may restart under the same id: rejects a report of an earlier life, and records a
 * newer life in the endpoint table before the report is used. Each instance has one such wrapper.
 */
export class LifeCheckedOrders extends EngineOrders {
  /** @param _broadcastRestart - Called once for each restart that is first detected by a report. */
  constructor(
    private readonly _orders: EngineOrders,
    private readonly _endpoints: EndpointTable,
    private readonly _broadcastRestart: (endpointId: string, bornAtMs: number) => void,
  ) {
    super();
  }

  override async getReport(
    target: OrderTarget,
    timeoutMs: number,
    isFresh?: boolean,
  ): Promise<results.Result<EngineReport, OrderError>> {
    const report = await this._orders.getReport(target, timeoutMs, isFresh);
    if (report.err) return report;
    const { bornAtMs, layers } = report.val;
    const order = this._endpoints.noteStart(target.id, bornAtMs, layers);
    if (order === "earlier") return results.Err(new EarlierLifeError(target.address));
    if (order === "newer" && bornAtMs !== undefined) this._broadcastRestart(target.id, bornAtMs);
    return report;
  }

  /**
   * Forwards the order unchanged. The expected order count comes from the latest report, and a new life counts from 0, so that an order
   * that reaches another life has no effect.
   */
  override placeLayers(
    target: OrderTarget,
    span: LayerSpan,
    expectedOrderCount: number,
  ): Promise<results.Result<void, OrderError>> {
    return this._orders.placeLayers(target, span, expectedOrderCount);
  }

  override changeChain(
    target: OrderTarget,
    requestId: string,
    chain: readonly ChainStage[],
  ): Promise<results.Result<void, OrderError>> {
    return this._orders.changeChain(target, requestId, chain);
  }
}
