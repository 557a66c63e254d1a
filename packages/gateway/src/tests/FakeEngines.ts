import { errors, results } from "@shedtiller/common";
import type { ChainStage } from "../http/MessageCodec.js";
import {
  EngineOrders,
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
  /** Fields in which reports differ from that of an idle engine, by engine id. */
  readonly reports = new Map<string, Partial<EngineReport>>();
  /** Chains that requests were moved to, each as the ids of its engines. */
  readonly chains: string[] = [];
  changeAnswer: results.Result<void, OrderError> = results.Ok(undefined);

  override getReport(target: OrderTarget): Promise<results.Result<EngineReport, OrderError>> {
    if (this.silent.has(target.id))
      return Promise.resolve(results.Err(new errors.DeadlineError(target.address, 1)));
    return Promise.resolve(results.Ok({ ...idleReport, ...this.reports.get(target.id) }));
  }

  override placeLayers(): Promise<results.Result<void, OrderError>> {
    return Promise.resolve(results.Ok(undefined));
  }

  override changeChain(
    _target: unknown,
    _id: string,
    chain: readonly ChainStage[],
  ): Promise<results.Result<void, OrderError>> {
    this.chains.push(chain.map((stage) => stage.endpointId).join(","));
    return Promise.resolve(this.changeAnswer);
  }
}
