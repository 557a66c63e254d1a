/** Orders to engines and their reports, as the platform offers them. */
import { errors, type results } from "@shedtiller/common";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";
import type { CallError } from "../http/HttpCall.js";
import type { StatedAnswer } from "../http/EndpointStatement.js";
import type { ChainStage } from "../http/MessageCodec.js";

/** What an engine tells of itself; some hundred milliseconds old. */
export interface EngineReport {
  /** Unix milliseconds of the start of its process; undefined where engines don't tell it. */
  readonly bornAtMs?: number | undefined;
  /** Orders that it has begun since its start. */
  readonly orderCount: number;
  /** Whether an order is under way. */
  readonly isBusy: boolean;
  readonly layers: readonly LayerSpan[];
  readonly running: number;
  readonly queued: number;
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  /** Factor by which it is slower than its kind; 1 is nominal. */
  readonly slowness: number;
  /** Requests, begun here, that stand still, each with the address of the engine that they wait for. */
  readonly stalled: readonly { readonly requestId: string; readonly address: string }[];
}

/** An engine did not do what it was ordered to. */
export class OrderRefusedError extends errors.ShedtillerError {
  readonly code = "order_refused";

  constructor(
    readonly address: string,
    readonly status: number,
    /** The engine at fault, where the refusal names one. */
    readonly faultyAddress: string | undefined,
  ) {
    super(`The engine at ${address} refused an order with status ${status}.`);
  }
}

/** A report of a process that has ended since, or that never was this engine's. */
export class EarlierLifeError extends errors.ShedtillerError {
  readonly code = "earlier_life";

  constructor(readonly address: string) {
    super(`What the engine at ${address} reported is of an earlier start of its process.`);
  }
}

export type OrderError = CallError | OrderRefusedError | EarlierLifeError | errors.InvalidInputError;

/** An engine that orders and questions go to. */
export interface OrderTarget {
  readonly id: string;
  readonly address: string;
  /** Names the life of its process that is meant; left out where that makes no difference. */
  readonly lifeId?: string;
}

/** Told what an answer to an order or a question states of its engine. */
export type OrderAnswerListener = (target: OrderTarget, answer: StatedAnswer) => void;

/** Sends orders and reads reports. */
export abstract class EngineOrders {
  private readonly _listeners: OrderAnswerListener[] = [];

  /** Calls `listener` with what each answer states of its engine. */
  onAnswer(listener: OrderAnswerListener): void {
    this._listeners.push(listener);
  }

  protected notifyAnswer(target: OrderTarget, answer: StatedAnswer): void {
    for (const listener of this._listeners) listener(target, answer);
  }

  /**
   * Asks an engine for its report.
   * @param isFresh - Whether a connection of its own is used. A kept one may have gone silent, which tells nothing of the engine.
   */
  abstract getReport(
    target: OrderTarget,
    timeoutMs: number,
    isFresh?: boolean,
  ): Promise<results.Result<EngineReport, OrderError>>;

  /**
   * Orders an engine to hold a span of layers and no others; layers given up wait for what still passes them.
   * @param expectedOrderCount - The order does nothing if the engine has begun another number of orders.
   */
  abstract placeLayers(
    target: OrderTarget,
    span: LayerSpan,
    expectedOrderCount: number,
  ): Promise<results.Result<void, OrderError>>;

  /** Moves a running request, begun at `target`, to another chain with the same first engine. */
  abstract changeChain(
    target: OrderTarget,
    requestId: string,
    chain: readonly ChainStage[],
  ): Promise<results.Result<void, OrderError>>;
}
