/** What a set of spans offers at each layer: room for tokens, and speed. The balance planner improves its cost step by step. */
import { getTokensBeside, type CopyEngine, type CopyModel } from "./planLayerCopies.js";

/** An engine and the layers that it holds; `end` equals `start` where it holds none. */
export interface BalancedSpan {
  readonly engine: CopyEngine;
  readonly start: number;
  readonly end: number;
}

/** Cost of a layer that no engine holds: above that of any layer that one holds. */
const uncoveredCost = 1e6;
/** Room below this share of what is wanted costs no more than this share does, so that costs stay below `uncoveredCost`. */
const leastRoomShare = 1 / 18;
/** The cost of scarce room rises with this power: the scarcest layer bounds all requests, so it counts most. */
const scarcityPower = 4;

/** Room and speed at each layer; spans are taken out and put in one by one. */
export class LayerRoom {
  private readonly _tokens: Float64Array;
  /** Tokens times the step factor of the engine that has room for them. */
  private readonly _weighted: Float64Array;
  private readonly _meanStepFactor: number;

  /** @param _wantedTokens - Tokens that should fit at each layer at once. */
  constructor(
    spans: readonly BalancedSpan[],
    private readonly _model: CopyModel,
    private readonly _wantedTokens: number,
  ) {
    this._tokens = new Float64Array(_model.layerCount);
    this._weighted = new Float64Array(_model.layerCount);
    const factors = spans.map((span) => span.engine.stepFactor);
    this._meanStepFactor = factors.reduce((sum, factor) => sum + factor, 0) / Math.max(1, factors.length);
    for (const span of spans) this.add(span);
  }

  add(span: BalancedSpan): void {
    this._change(span, 1);
  }

  remove(span: BalancedSpan): void {
    this._change(span, -1);
  }

  /** Cost of the layers from `start` to `end`: slow layers cost by their step factor, scarce ones steeply more. */
  getCost(start: number, end: number): number {
    let cost = 0;
    for (let layer = start; layer < end; layer++) cost += this._getLayerCost(layer);
    return cost;
  }

  /** Whether every layer has room for a request. */
  isWhole(): boolean {
    return this._tokens.every((tokens) => tokens >= this._model.tokensPerRequest);
  }

  private _getLayerCost(layer: number): number {
    const tokens = this._tokens[layer] ?? 0;
    // Less than a request fits: no request can pass here.
    if (tokens < this._model.tokensPerRequest) return uncoveredCost;
    const stepFactor = (this._weighted[layer] ?? 0) / tokens;
    const roomShare = Math.max(leastRoomShare, tokens / this._wantedTokens);
    return stepFactor / this._meanStepFactor + roomShare ** -scarcityPower;
  }

  private _change(span: BalancedSpan, sign: 1 | -1): void {
    const { engine, start, end } = span;
    const tokens = sign * getTokensBeside(engine, end - start, this._model);
    for (let layer = start; layer < end; layer++) {
      this._tokens[layer] = (this._tokens[layer] ?? 0) + tokens;
      this._weighted[layer] = (this._weighted[layer] ?? 0) + tokens * engine.stepFactor;
    }
  }
}
