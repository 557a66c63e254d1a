/** Engines for tests: those that are silent answer no question, the others report what they are told to. */
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

export class FakeEngines extends EngineOrders {
  /** Ids of engines that answer nothing. */
  readonly silent = new Set<string>();
  /** Reports that differ from an idle engine's, by id. */
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
