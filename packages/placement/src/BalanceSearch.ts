/**
 * Balances the layers of one availability zone: fills gaps, gives empty engines work, and shifts boundaries between
 * neighbours until no single step helps any more (hill climbing). Works on any number of copies.
 */
import { getSteps, type BalanceStep } from "./balanceSteps.js";
import { isCovered } from "./isCovered.js";
import { getKvTokenCapacity, type CopyModel } from "./planLayerCopies.js";
import { ZoneArrangement, type BalancedSpan } from "./ZoneArrangement.js";

/** Steps of one search at most; what is left is found by the next one. */
const mostSteps = 400;
/** A step has to lower the cost by more than this; less is rounding. */
const leastGain = 1e-6;

/** What a search aims at, and what it may do. */
export interface BalanceOptions {
  /** Whether engines only take on layers and give none up. */
  readonly isGrowthOnly?: boolean;
  /** Spans, by index, that engines may leave for others at once, where all their layers have another holder. */
  readonly relocatable?: ReadonlySet<number>;
  /** Whether only engines that held nothing at first may change. */
  readonly isFillOnly?: boolean;
  /** Layers by which one step shifts a boundary at most. */
  readonly maxShift?: number;
  /** Layers that an engine loads at most: loads take time, and until the last one is done a gap stays open. */
  readonly maxLoads?: number;
  /** Tokens that have to fit beside the layers that an engine holds now and those that it gets, while it changes over. */
  readonly minKvTokens?: number;
}

/** A search for a better balance. Its steps are taken one by one, so that a caller can let other work in between. */
export class BalanceSearch {
  readonly costBefore: number;
  private readonly _spans: BalancedSpan[];
  private _arrangement: ZoneArrangement;
  private readonly _relocatable: ReadonlySet<number>;
  private _steps = 0;

  constructor(
    private readonly _held: readonly BalancedSpan[],
    private readonly _model: CopyModel,
    private readonly _options: BalanceOptions = {},
  ) {
    this._spans = [..._held];
    this._arrangement = new ZoneArrangement(_held, _model);
    this.costBefore = this.cost;
    this._relocatable = new Set(findRedundant(_held).filter((index) => _options.relocatable?.has(index)));
  }

  /** The spans as they are now, in the order in which they were given. */
  get spans(): readonly BalancedSpan[] {
    return this._spans;
  }

  get cost(): number {
    return this._arrangement.getCost();
  }

  /** Whether every layer has room for a request. */
  get isComplete(): boolean {
    return this._arrangement.isComplete;
  }

  /** Takes the step that helps most; tells whether there was one. */
  improve(): boolean {
    if (this._steps >= mostSteps) return false;
    const step = this._findBestStep();
    if (step === undefined) return false;
    this._steps += 1;
    for (const { index, span } of step) this._spans[index] = span;
    // Anew, since sums that are changed back and forth lose precision.
    this._arrangement = new ZoneArrangement(this._spans, this._model);
    return true;
  }

  private _findBestStep(): BalanceStep | undefined {
    let best: BalanceStep | undefined;
    let bestGain = leastGain;
    for (const step of getSteps(this._spans, this._model, this._options.maxShift, this._relocatable)) {
      if (!step.every(({ index, span }) => this._isAllowed(index, span))) continue;
      const gain = this._getGain(step);
      if (gain <= bestGain) continue;
      best = step;
      bestGain = gain;
    }
    return best;
  }

  private _isAllowed(index: number, span: BalancedSpan): boolean {
    const held = this._held[index];
    if (held === undefined) return true;
    if (countLoads(held, span) > (this._options.maxLoads ?? Number.POSITIVE_INFINITY)) return false;
    const leastTokens = this._options.minKvTokens ?? 0;
    const hasRoom = (layers: number): boolean =>
      getKvTokenCapacity(span.engine, layers, this._model) >= leastTokens;
    const isNew = held.end <= held.start || (this._relocatable.has(index) && !isOverlapping(held, span));
    if (isNew) return hasRoom(span.end - span.start);
    const start = Math.min(held.start, span.start);
    const end = Math.max(held.end, span.end);
    if (this._options.isGrowthOnly === true && (start < span.start || end > span.end)) return false;
    if (this._options.isFillOnly === true) return false;
    const isGrowing = start < held.start || end > held.end;
    return !isGrowing || hasRoom(end - start);
  }

  private _getGain(step: BalanceStep): number {
    const before = this._getBefore(step);
    const after = getAfter(step);
    const costBefore = this.cost;
    this._replace(before, after);
    const costAfter = this.cost;
    this._replace(after, before);
    return costBefore - costAfter;
  }

  private _getBefore(step: BalanceStep): BalancedSpan[] {
    return step.flatMap(({ index }) => this._spans[index] ?? []);
  }

  private _replace(before: readonly BalancedSpan[], after: readonly BalancedSpan[]): void {
    for (const span of before) this._arrangement.remove(span);
    for (const span of after) this._arrangement.add(span);
  }
}

/** Plans the balance of `held` in one go. */
export function planBalance(
  held: readonly BalancedSpan[],
  model: CopyModel,
  options: BalanceOptions = {},
): readonly BalancedSpan[] {
  const search = new BalanceSearch(held, model, options);
  while (search.improve());
  return search.spans;
}

function getAfter(step: BalanceStep): BalancedSpan[] {
  return step.map(({ span }) => span);
}

/** Layers of a span that its engine does not hold yet. */
function countLoads(held: BalancedSpan, span: BalancedSpan): number {
  const common = Math.min(held.end, span.end) - Math.max(held.start, span.start);
  return span.end - span.start - Math.max(0, common);
}

function isOverlapping(a: BalancedSpan, b: BalancedSpan): boolean {
  return a.start < b.end && b.start < a.end;
}

/** Spans, by index, whose layers are all held by others as well. */
function findRedundant(spans: readonly BalancedSpan[]): number[] {
  return [...spans.keys()].filter((index) => {
    const span = spans[index];
    if (span === undefined || span.end <= span.start) return false;
    return isCovered(
      span,
      spans.filter((other) => other !== span),
    );
  });
}
