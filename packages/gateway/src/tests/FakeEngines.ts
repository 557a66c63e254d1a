import { errors, results } from "@shedtiller/common";
import type { ChainStage } from "../http/MessageCodec.js";
import {
  EngineOrders,
  OrderRefusedError,
  type EngineReport,
  type OrderError,
  type OrderTarget,
} from "../orders/EngineOrders.js";

const idleReport: EngineReport = {
  orderCount: 1,
  isBusy: false,
  layers: [],
  running: 1,
  queued: 0,
  usedTokenLayers: 0,
  totalTokenLayers: 0,
  slowness: 1,
  stalled: [],
};

/** Engines for tests. Silent engines don't respond, and the others return the reports that the test sets. */
export class FakeEngines extends EngineOrders {
  /** Ids of engines that don't respond. */
  readonly silent = new Set<string>();
  /** Ids of engines whose processes have ended, so that connections are refused. */
  readonly refusing = new Set<string>();
  /** Ids of the engines that were asked for a report. */
  readonly asked: string[] = [];
  /** Ids of the engines that accepted an order. */
  readonly ordered: string[] = [];
  /** Called when an engine is asked for a report. */
  onAsked: (id: string) => void = () => undefined;
  /** Fields in which reports differ from that of an idle engine, by engine id. */
  readonly reports = new Map<string, Partial<EngineReport>>();
  /** Chains that requests were moved to, each as the ids of its engines. */
  readonly chains: string[] = [];
  changeAnswer: results.Result<void, OrderError> = results.Ok(undefined);
  /** Ids of engines without capacity for moved requests. */
  readonly full = new Set<string>();

  override getReport(target: OrderTarget): Promise<results.Result<EngineReport, OrderError>> {
    this.asked.push(target.id);
    this.onAsked(target.id);
    if (this.refusing.has(target.id)) {
      const cause = Object.assign(new Error("refused"), { code: "ECONNREFUSED" });
      return Promise.resolve(results.Err(new errors.NotReachedError(target.address, cause)));
    }
    if (this.silent.has(target.id))
      return Promise.resolve(results.Err(new errors.DeadlineError(target.address, 1)));
    return Promise.resolve(results.Ok({ ...idleReport, ...this.reports.get(target.id) }));
  }

  override placeLayers(target: OrderTarget): Promise<results.Result<void, OrderError>> {
    this.ordered.push(target.id);
    return Promise.resolve(results.Ok(undefined));
  }

  override changeChain(
    target: OrderTarget,
    _id: string,
    chain: readonly ChainStage[],
  ): Promise<results.Result<void, OrderError>> {
    this.chains.push(chain.map((stage) => stage.endpointId).join(","));
    const full = chain.find((stage) => this.full.has(stage.endpointId));
    if (full !== undefined)
      return Promise.resolve(results.Err(new OrderRefusedError(target.address, 409, full.address)));
    return Promise.resolve(this.changeAnswer);
  }
}
