/**
 * Orders and reports of engines whose processes may start again under the same id: a report of an earlier life is no report, and one of a
 * newer life is told to the table of endpoints before anybody draws conclusions from it.
 */
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

/** Wraps the platform's orders; one for an instance. */
export class LifeCheckedOrders extends EngineOrders {
  /** @param _tellPeers - Called once for each restart that a report showed first. */
  constructor(
    private readonly _orders: EngineOrders,
    private readonly _endpoints: EndpointTable,
    private readonly _tellPeers: (endpointId: string, bornAtMs: number) => void,
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
    if (order === "newer" && bornAtMs !== undefined) this._tellPeers(target.id, bornAtMs);
    return report;
  }

  /** The count of orders that an order names is of the report just read: an order that meets another life begins with a count of 0. */
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
