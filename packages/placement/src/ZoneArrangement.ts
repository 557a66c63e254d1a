/**
 * Rates how the engines of a zone hold a model's layers. Spans are put in and taken out one by one, and the rating follows at the
 * cost of the layers that they touch.
 */
import { getKvTokenCapacity, type CopyEngine, type CopyModel } from "./planLayerCopies.js";
import { getTokensBeyondBurst } from "./burst.js";

/** An engine and the layers that it holds; `end` equals `start` where it holds none. */
export interface BalancedSpan {
  readonly engine: CopyEngine;
  readonly start: number;
  readonly end: number;
}

/** Cost of a layer where no request fits: far above what anything else can save. */
const gapCost = 1_000;
/**
 * How much faster answers count beside more of them. Without it the search is indifferent over a wide range of room; measured
 * over a day of streams, pauses come late for 2 in 100 of them at 15 ms a token and for 25 in 100 at 25 ms.
 */
const speedWeight = 0.15;
/**
 * What it is worth that a zone goes on without any one engine, as the logarithm of a factor on the rate. Without it four days with losses
 * earned 0.03 less of their worth on average.
 */
const secondHolderCredit = Math.log(1.25);
/** Where several engines hold a layer, requests take the fastest first: shares fall with this power of the step factor. */
const preferencePower = 3;
/** A holder with room for less than this share of a usual batch takes over nothing when another is lost. */
const leastBatchShare = 0.5;
/** Room for this many standard deviations of the number of requests (Poisson) is left free. */
const freeDeviations = 2;

/** Sums over the layers that have room. */
interface Totals {
  covered: number;
  /** Layers with a second holder. */
  doubled: number;
  /** Layers held, each as often as it has a holder. */
  held: number;
  stepFactors: number;
  /** Of the eighth power of 1 / usable tokens: a soft minimum. */
  scarcity: number;
}

/** One arrangement. */
export class ZoneArrangement {
  private readonly _tokens: Float64Array;
  /** The part of the tokens that is left beyond each holder's burst. */
  private readonly _usable: Float64Array;
  private readonly _shares: Float64Array;
  private readonly _sharedFactors: Float64Array;
  private readonly _holders: Int32Array;
  private readonly _totals: Totals = { covered: 0, doubled: 0, held: 0, stepFactors: 0, scarcity: 0 };

  constructor(
    spans: readonly BalancedSpan[],
    private readonly _model: CopyModel,
  ) {
    const { layerCount } = _model;
    this._tokens = new Float64Array(layerCount);
    this._usable = new Float64Array(layerCount);
    this._shares = new Float64Array(layerCount);
    this._sharedFactors = new Float64Array(layerCount);
    this._holders = new Int32Array(layerCount);
    for (const span of spans) this.add(span);
  }

  /** Whether every layer has room for a request. */
  get isComplete(): boolean {
    return this._totals.covered === this._model.layerCount;
  }

  add(span: BalancedSpan): void {
    this._change(span, 1);
  }

  remove(span: BalancedSpan): void {
    this._change(span, -1);
  }

  /** The lower the better: gaps first, then the rate of requests, speed, and layers that a single loss takes away. */
  getCost(): number {
    const { layerCount, stepMs, stepMsPerRequest, tokensPerRequest } = this._model;
    const { covered, doubled, held, stepFactors, scarcity } = this._totals;
    const gaps = (layerCount - covered) * gapCost;
    if (covered === 0) return gaps;
    const room = (covered / scarcity) ** (1 / 8) / tokensPerRequest;
    const requests = Math.max(1, room - freeDeviations * Math.sqrt(room));
    // Each copy of the layers runs its part of the requests side by side.
    const stepLoad = 1 + (requests * layerCount * stepMsPerRequest) / (Math.max(layerCount, held) * stepMs);
    const tokenTime = Math.log(stepFactors / covered) + Math.log(stepLoad);
    return (
      gaps + (1 + speedWeight) * tokenTime - Math.log(requests) - (secondHolderCredit * doubled) / layerCount
    );
  }

  private _change(span: BalancedSpan, sign: 1 | -1): void {
    const { engine, start, end } = span;
    const tokens = getKvTokenCapacity(engine, end - start, this._model);
    const usable = getTokensBeyondBurst(tokens, this._model);
    const isHolder = usable >= leastBatchShare * getBatchTokens(this._model);
    const share = usable / engine.stepFactor ** preferencePower;
    for (let layer = start; layer < end; layer++) {
      this._count(layer, -1);
      this._tokens[layer] = (this._tokens[layer] ?? 0) + sign * tokens;
      this._usable[layer] = (this._usable[layer] ?? 0) + sign * usable;
      this._shares[layer] = (this._shares[layer] ?? 0) + sign * share;
      this._sharedFactors[layer] = (this._sharedFactors[layer] ?? 0) + sign * share * engine.stepFactor;
      if (isHolder) this._holders[layer] = (this._holders[layer] ?? 0) + sign;
      this._count(layer, 1);
    }
  }

  /** Adds a layer to the totals, or takes it out of them. */
  private _count(layer: number, sign: 1 | -1): void {
    const tokens = this._tokens[layer] ?? 0;
    const holders = this._holders[layer] ?? 0;
    this._totals.held += sign * holders;
    if (tokens < this._model.tokensPerRequest) return;
    this._totals.covered += sign;
    if (holders > 1) this._totals.doubled += sign;
    this._totals.stepFactors += (sign * (this._sharedFactors[layer] ?? 0)) / (this._shares[layer] ?? 1);
    this._totals.scarcity += sign * getEighthPower(1 / (this._usable[layer] ?? 0));
  }
}

/** Tokens of as many requests as double the duration of a step: more of them add less and less to the rate. */
function getBatchTokens(model: CopyModel): number {
  return (model.tokensPerRequest * model.stepMs) / model.stepMsPerRequest;
}

function getEighthPower(value: number): number {
  const square = value * value;
  const fourth = square * square;
  return fourth * fourth;
}
