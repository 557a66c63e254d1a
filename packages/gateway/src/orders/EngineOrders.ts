import { errors, type results } from "@shedtiller/common";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";
import type { CallError } from "../http/HttpCall.js";
import type { StatedAnswer } from "../http/EndpointStatement.js";
import type { ChainStage } from "../http/MessageCodec.js";

/** The state that an engine reports about itself; some hundred milliseconds old. */
export interface EngineReport {
  /** Start of the process in Unix milliseconds; undefined if engines don't report their start. */
  readonly bornAtMs?: number | undefined;
  /** Number of orders that the process has begun. */
  readonly orderCount: number;
  /** Whether an order is in progress. */
  readonly isBusy: boolean;
  readonly layers: readonly LayerSpan[];
  readonly running: number;
  readonly queued: number;
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  /** Factor by which the engine is slower than its accelerator kind; 1 is nominal. */
  readonly slowness: number;
  /** Requests that began at this engine and have stalled, each with the address of the engine that they are waiting for. */
  readonly stalled: readonly { readonly requestId: string; readonly address: string }[];
}

/** An engine rejected an order. */
export class OrderRefusedError extends errors.ShedtillerError {
  readonly code = "order_refused";

  constructor(
    readonly address: string,
    readonly status: number,
    /** Address of the faulty engine, if the rejection names one. */
    readonly faultyAddress: string | undefined,
  ) {
    super(`The engine at ${address} rejected an order with status ${status}.`);
  }
}

/** The report of an engine comes from a process that has ended since, or that never was the process of this engine. */
export class EarlierLifeError extends errors.ShedtillerError {
  readonly code = "earlier_life";

  constructor(readonly address: string) {
    super(`The report of the engine at ${address} belongs to an earlier start of its process.`);
  }
}

export type OrderError = CallError | OrderRefusedError | EarlierLifeError | errors.InvalidInputError;

/** The recipient of orders and report requests. */
export interface OrderTarget {
  readonly id: string;
  readonly address: string;
  /** Identifies the addressed life of the engine's process; omitted if the life makes no difference. */
  readonly lifeId?: string;
}

/** Receives the statements about an engine in its answer to an order or a report request. */
export type OrderAnswerListener = (target: OrderTarget, answer: StatedAnswer) => void;

/** Sends orders to engines and reads their reports. */
export abstract class EngineOrders {
  private readonly _listeners: OrderAnswerListener[] = [];

  /** Calls `listener` with the statements of each answer about its engine. */
  onAnswer(listener: OrderAnswerListener): void {
    this._listeners.push(listener);
  }

  protected notifyAnswer(target: OrderTarget, answer: StatedAnswer): void {
    for (const listener of this._listeners) listener(target, answer);
  }

  /**
   * Requests the report of an engine.
   * @param isFresh - Whether to open a new connection. A pooled connection may no longer work, which does not show that the engine has
   * failed.
   */
  abstract getReport(
    target: OrderTarget,
    timeoutMs: number,
    isFresh?: boolean,
  ): Promise<results.Result<EngineReport, OrderError>>;

  /**
   * Orders an engine to load a span of layers and to drop all others; dropped layers remain loaded until the requests that pass through
   * them have ended.
   * @param expectedOrderCount - The order has no effect if the engine has begun a different number of orders.
   */
  abstract placeLayers(
    target: OrderTarget,
    span: LayerSpan,
    expectedOrderCount: number,
  ): Promise<results.Result<void, OrderError>>;

  /** Moves a running request that began at `target` to another chain with the same first engine. */
  abstract changeChain(
    target: OrderTarget,
    requestId: string,
    chain: readonly ChainStage[],
  ): Promise<results.Result<void, OrderError>>;
}
