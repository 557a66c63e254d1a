/**
 * Balances the layers of an availability zone by hill climbing: fills gaps, assigns layers to empty engines and shifts boundaries between
 * neighbours until no single step lowers the cost. Works with any number of copies of the model.
 */
import { getSteps, type BalanceStep } from "./balanceSteps.js";
import { isCovered } from "./isCovered.js";
import { getKvTokenCapacity, type CopyModel } from "./planLayerCopies.js";
import { ZoneArrangement, type BalancedSpan } from "./ZoneArrangement.js";

/** Maximum number of steps of a search; the next search continues from its result. */
const maxSteps = 400;
/** A step has to lower the cost by more than this; smaller gains are rounding errors. */
const minGain = 1e-6;

/** Constraints of a {@link BalanceSearch}. */
export interface BalanceOptions {
  /** Whether engines may only add layers and remove none. */
  readonly isGrowthOnly?: boolean;
  /** Indices of the spans whose engines may move to any other layers in one step, if all their layers are also on other engines. */
  readonly relocatable?: ReadonlySet<number>;
  /** Whether only engines that had no layers at the start may change. */
  readonly isFillOnly?: boolean;
  /** Maximum number of layers by which one step shifts a boundary. */
  readonly maxShift?: number;
  /** Maximum number of layers that an engine loads: loads take time, and a gap remains open until the last one is done. */
  readonly maxLoads?: number;
  /** Tokens of KV cache that have to fit beside the union of an engine's current and new layers while the engine loads the new ones. */
  readonly minKvTokens?: number;
}

/** Searches for a better balance step by step, so that callers can yield to other work between steps. */
export class BalanceSearch {
  readonly costBefore: number;
  private readonly _spans: BalancedSpan[];
  private _arrangement: ZoneArrangement;
  private readonly _relocatable: ReadonlySet<number>;
  private _steps = 0;

  constructor(
    private readonly _initial: readonly BalancedSpan[],
    private readonly _model: CopyModel,
    private readonly _options: BalanceOptions = {},
  ) {
    this._spans = [..._initial];
    this._arrangement = new ZoneArrangement(_initial, _model);
    this.costBefore = this.cost;
    this._relocatable = new Set(findRedundant(_initial).filter((index) => _options.relocatable?.has(index)));
  }

  /** The current spans, in the order of the initial ones. */
  get spans(): readonly BalancedSpan[] {
    return this._spans;
  }

  get cost(): number {
    return this._arrangement.getCost();
  }

  /** Whether every layer has KV cache for at least one request. */
  get isComplete(): boolean {
    return this._arrangement.isComplete;
  }

  /** Applies the step that lowers the cost most; returns whether there was one. */
  improve(): boolean {
    if (this._steps >= maxSteps) return false;
    const step = this._findBestStep();
    if (step === undefined) return false;
    this._steps += 1;
    for (const { index, span } of step) this._spans[index] = span;
    // The arrangement is built anew, since its sums lose precision by repeated additions and subtractions.
    this._arrangement = new ZoneArrangement(this._spans, this._model);
    return true;
  }

  private _findBestStep(): BalanceStep | undefined {
    let best: BalanceStep | undefined;
    let bestGain = minGain;
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
    const initial = this._initial[index];
    if (initial === undefined) return true;
    if (countLoads(initial, span) > (this._options.maxLoads ?? Number.POSITIVE_INFINITY)) return false;
    const minTokens = this._options.minKvTokens ?? 0;
    const hasKvCapacity = (layers: number): boolean =>
      getKvTokenCapacity(span.engine, layers, this._model) >= minTokens;
    const isNew =
      initial.end <= initial.start || (this._relocatable.has(index) && !isOverlapping(initial, span));
    if (isNew) return hasKvCapacity(span.end - span.start);
    const start = Math.min(initial.start, span.start);
    const end = Math.max(initial.end, span.end);
    if (this._options.isGrowthOnly === true && (start < span.start || end > span.end)) return false;
    if (this._options.isFillOnly === true) return false;
    const isGrowing = start < initial.start || end > initial.end;
    return !isGrowing || hasKvCapacity(end - start);
  }

  private _getGain(step: BalanceStep): number {
    const before = this._getReplacedSpans(step);
    const after = getNewSpans(step);
    const costBefore = this.cost;
    this._replace(before, after);
    const costAfter = this.cost;
    this._replace(after, before);
    return costBefore - costAfter;
  }

  private _getReplacedSpans(step: BalanceStep): BalancedSpan[] {
    return step.flatMap(({ index }) => this._spans[index] ?? []);
  }

  private _replace(before: readonly BalancedSpan[], after: readonly BalancedSpan[]): void {
    for (const span of before) this._arrangement.remove(span);
    for (const span of after) this._arrangement.add(span);
  }
}

/** Runs a search from the `initial` spans to its end and returns the balanced spans. */
export function planBalance(
  initial: readonly BalancedSpan[],
  model: CopyModel,
  options: BalanceOptions = {},
): readonly BalancedSpan[] {
  const search = new BalanceSearch(initial, model, options);
  while (search.improve());
  return search.spans;
}

function getNewSpans(step: BalanceStep): BalancedSpan[] {
  return step.map(({ span }) => span);
}

/** Returns the number of layers of `span` that its engine does not have in its initial span and has to load. */
function countLoads(initial: BalancedSpan, span: BalancedSpan): number {
  const common = Math.min(initial.end, span.end) - Math.max(initial.start, span.start);
  return span.end - span.start - Math.max(0, common);
}

function isOverlapping(a: BalancedSpan, b: BalancedSpan): boolean {
  return a.start < b.end && b.start < a.end;
}

/** Returns the indices of the spans whose layers are all on other engines as well. */
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
