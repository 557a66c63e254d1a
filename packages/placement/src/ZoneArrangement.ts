/**
 * Cost of an arrangement of a model's layers on the engines of a zone. The sums are updated incrementally as spans are added and removed,
 * which costs time only for the layers of the span.
 */
import { getKvTokenCapacity, type CopyEngine, type CopyModel } from "./planLayerCopies.js";
import { getTokensBeyondBurst } from "./burst.js";
import { getFirstConcentration, preferencePower } from "./equalizeFirstEngines.js";

/** An engine and its layers; `end` is exclusive and equals `start` if the engine has no layers. */
export interface BalancedSpan {
  readonly engine: CopyEngine;
  readonly start: number;
  readonly end: number;
}

/** Cost of a layer on which no request fits: far above the gain of any other change. */
const gapCost = 1_000;
/**
 * Weight of faster answers relative to more answers. Without it, the search is indifferent over a wide range of KV cache sizes. Over a day
 * of streams, pauses between tokens were late in 2 of 100 streams at 15 ms per token and in 25 of 100 at 25 ms.
 */
const speedWeight = 0.15;
/**
 * Credit for a zone that survives the loss of any one engine, as the logarithm of a factor on the rate. Without it, four days with losses
 * served 0.03 less of their value on average.
 */
const redundancyCredit = Math.log(1.25);
/**
 * An engine counts as a replica of its layers if it has KV cache for this share of a usual batch. With less it can't take over the requests
 * of a lost engine.
 */
const minBatchShare = 0.5;
/** Headroom for random variation of the number of requests, in standard deviations of a Poisson distribution. */
const headroomDeviations = 2;

/** Sums over the layers of the model. */
interface Totals {
  /** Number of layers with KV cache for at least one request. */
  covered: number;
  /** Number of covered layers with at least two replicas. */
  redundant: number;
  /** Number of replicas of all layers, covered or not. */
  replicas: number;
  /** Sum of the mean step factors of the covered layers. */
  stepFactors: number;
  /** Sum of the eighth powers of 1 / usable tokens of the covered layers, for a soft minimum. */
  scarcity: number;
}

/** Computes the cost of an arrangement of spans and updates it incrementally. */
export class ZoneArrangement {
  private readonly _tokens: Float64Array;
  /** Tokens of each layer that remain beside the bursts of its engines. */
  private readonly _usable: Float64Array;
  private readonly _shares: Float64Array;
  private readonly _sharedFactors: Float64Array;
  private readonly _replicas: Int32Array;
  /** The engines with the first layer, and the usable tokens of each. */
  private readonly _firsts = new Map<CopyEngine, number>();
  private readonly _totals: Totals = { covered: 0, redundant: 0, replicas: 0, stepFactors: 0, scarcity: 0 };

  constructor(
    spans: readonly BalancedSpan[],
    private readonly _model: CopyModel,
  ) {
    const { layerCount } = _model;
    this._tokens = new Float64Array(layerCount);
    this._usable = new Float64Array(layerCount);
    this._shares = new Float64Array(layerCount);
    this._sharedFactors = new Float64Array(layerCount);
    this._replicas = new Int32Array(layerCount);
    for (const span of spans) this.add(span);
  }

  /** Whether every layer has KV cache for at least one request. */
  get isComplete(): boolean {
    return this._totals.covered === this._model.layerCount;
  }

  add(span: BalancedSpan): void {
    this._change(span, 1);
  }

  remove(span: BalancedSpan): void {
    this._change(span, -1);
  }

  /** Returns the cost, which is lower for better arrangements: gaps dominate, then come request rate, speed and redundancy of layers. */
  getCost(): number {
    const { layerCount, stepMs, stepMsPerRequest, tokensPerRequest } = this._model;
    const { covered, redundant, replicas, stepFactors, scarcity } = this._totals;
    const gaps = (layerCount - covered) * gapCost;
    if (covered === 0) return gaps;
    const requestCapacity = (covered / scarcity) ** (1 / 8) / tokensPerRequest;
    const requests = Math.max(1, requestCapacity - headroomDeviations * Math.sqrt(requestCapacity));
    // The requests are distributed over the replicas of the layers, which run concurrently.
    const stepLoad =
      1 + (requests * layerCount * stepMsPerRequest) / (Math.max(layerCount, replicas) * stepMs);
    const tokenTime = Math.log(stepFactors / covered) + Math.log(stepLoad);
    const value = Math.log(requests) + (redundancyCredit * redundant) / layerCount;
    return gaps + (1 + speedWeight) * tokenTime - value + this._getFirstEngineCost();
  }

  /** Returns the cost of streams that begin at few engines: the loss of a first engine cuts its streams, which can't move. */
  private _getFirstEngineCost(): number {
    const { firstEngineWeight = 0 } = this._model;
    return firstEngineWeight === 0 ? 0 : firstEngineWeight * getFirstConcentration(this._firsts);
  }

  private _change(span: BalancedSpan, sign: 1 | -1): void {
    const { engine, start, end } = span;
    const tokens = getKvTokenCapacity(engine, end - start, this._model);
    const usable = getTokensBeyondBurst(tokens, this._model);
    const isReplica = usable >= minBatchShare * getBatchTokens(this._model);
    const share = usable / engine.stepFactor ** preferencePower;
    if (start === 0 && end > start) this._changeFirst(engine, usable, sign);
    for (let layer = start; layer < end; layer++) {
      this._count(layer, -1);
      this._tokens[layer] = (this._tokens[layer] ?? 0) + sign * tokens;
      this._usable[layer] = (this._usable[layer] ?? 0) + sign * usable;
      this._shares[layer] = (this._shares[layer] ?? 0) + sign * share;
      this._sharedFactors[layer] = (this._sharedFactors[layer] ?? 0) + sign * share * engine.stepFactor;
      if (isReplica) this._replicas[layer] = (this._replicas[layer] ?? 0) + sign;
      this._count(layer, 1);
    }
  }

  private _changeFirst(engine: CopyEngine, usable: number, sign: 1 | -1): void {
    if (sign === 1) this._firsts.set(engine, usable);
    else this._firsts.delete(engine);
  }

  /** Adds a layer to the totals, or subtracts it from them. */
  private _count(layer: number, sign: 1 | -1): void {
    const tokens = this._tokens[layer] ?? 0;
    const replicas = this._replicas[layer] ?? 0;
    this._totals.replicas += sign * replicas;
    if (tokens < this._model.tokensPerRequest) return;
    this._totals.covered += sign;
    if (replicas > 1) this._totals.redundant += sign;
    this._totals.stepFactors += (sign * (this._sharedFactors[layer] ?? 0)) / (this._shares[layer] ?? 1);
    this._totals.scarcity += sign * getEighthPower(1 / (this._usable[layer] ?? 0));
  }
}

/** Returns the tokens of the number of requests that doubles the duration of a step; further requests add little to the rate. */
function getBatchTokens(model: CopyModel): number {
  return (model.tokensPerRequest * model.stepMs) / model.stepMsPerRequest;
}

function getEighthPower(value: number): number {
  const square = value * value;
  const fourth = square * square;
  return fourth * fourth;
}
