import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import {
  getExpectedSpan,
  isDroppingLayers,
  isZoneComplete,
  planZoneOrders,
  type ZoneEngine,
  type ZoneOrder,
} from "./planZoneOrders.js";

/**
 * Minimum gain for which a serving zone is rearranged, as the logarithm of a factor on the request rate. Engines that drop layers accept no
 * other order until the requests that pass through these layers have ended, which takes as long as the longest stream.
 */
const minGain = Math.log(1.1);
/** Minimum gain for which an empty engine gets layers; no request has to end first. */
const minFillGain = Math.log(1.005);
/**
 * Minimum gain for which a zone is rearranged without waiting for its engines to be stable, since a repair has left it with little
 * capacity.
 */
const minUrgentGain = Math.log(1.5);
/** A zone is rearranged once the layers of its engines have been unchanged for this long, since a lost engine often returns. */
const stableMs = 2_000;
/**
 * A zone that can't be repaired is rearranged after this time. A lost engine is often back earlier (after 3 to 5 s in the recorded
 * scenarios), and a rearrangement waits for all requests that pass through the zone's engines.
 */
const rearrangeAfterMs = 4_000;
/** Number of typical requests that have to fit at each engine while engines of a serving zone change their layers. */
const changeOverRequests = 40;
/** Minimum capacity in typical requests that a repair must leave; for less capacity the loading of layers is not worthwhile. */
const minRepairRequests = 16;
/**
 * Maximum number of requests that pass through an engine that drops its layers to close a gap, since the order waits for the longest of
 * these requests.
 */
const maxPassingRequests = 2;
/** A search for a better arrangement yields to the event loop after this time. */
const searchSliceMs = 4;

type Spans = readonly placement.BalancedSpan[];

/**
 * Plans the next orders for the engines of one zone: initial arrangement, repairs, and rebalancing. Stores the last state that led to no
 * order, and since when the engines' layers have been unchanged.
 */
export class ZonePlanner {
  /** The last state of the zone that led to no order, in its text form. */
  private _settledState = "";
  /** Names of engines that could drop their layers at a search of the settled state; each of them causes at most one further search. */
  private readonly _triedRelocatable = new Set<string>();
  /** The engines' layers at the last plan, in their text form. */
  private _lastSpans = "";
  private _stableSinceMs = 0;
  /** Monotonic time since which the zone has had layers that no engine has loaded or is ordered to load. */
  private _brokenSinceMs: number | undefined;

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Returns the orders that are due now. */
  async plan(engines: readonly ZoneEngine[], usualModel: placement.CopyModel): Promise<ZoneOrder[]> {
    const copyEngines = engines.map(({ engine }) => engine);
    const model = { ...usualModel, burstRequests: placement.getBurstRequests(copyEngines, usualModel) };
    const isStable = this._noteSpans(engines);
    const isLongBroken = this._noteBroken(engines, model);
    // Requests come and go all the time, and cause no order by themselves.
    const state = JSON.stringify([
      engines.map((engine) => ({ ...engine, passingRequests: 0 })),
      isStable,
      isLongBroken,
    ]);
    if (state === this._settledState && !this._hasNewlyRelocatable(engines)) return [];
    const target = await this._findTarget(engines, model, { isStable, isLongBroken });
    const orders = target === undefined ? [] : planZoneOrders(engines, target, model);
    if (orders.length === 0) this._settle(state, engines);
    return orders;
  }

  /** Returns whether the zone is broken, and an engine that was in use at all earlier searches of this state may drop its layers now. */
  private _hasNewlyRelocatable(engines: readonly ZoneEngine[]): boolean {
    return (
      this._brokenSinceMs !== undefined &&
      getRelocatable(engines).some((name) => !this._triedRelocatable.has(name))
    );
  }

  private _settle(state: string, engines: readonly ZoneEngine[]): void {
    if (state !== this._settledState) this._triedRelocatable.clear();
    this._settledState = state;
    for (const name of getRelocatable(engines)) this._triedRelocatable.add(name);
  }

  /** Records the engines' layers, and returns whether they have been unchanged for long enough. */
  private _noteSpans(engines: readonly ZoneEngine[]): boolean {
    const nowMs = this._nowMs();
    const spans = JSON.stringify(engines.map((engine) => [engine.engine.name, getExpectedSpan(engine)]));
    if (spans !== this._lastSpans) this._stableSinceMs = nowMs;
    this._lastSpans = spans;
    return nowMs - this._stableSinceMs >= stableMs;
  }

  /**
   * Records whether the zone is broken, and returns whether it has been broken for long enough to assume that the lost engine will not
   * return.
   */
  private _noteBroken(engines: readonly ZoneEngine[], model: placement.CopyModel): boolean {
    const nowMs = this._nowMs();
    this._brokenSinceMs = isComplete(engines.map(toBalanced), model)
      ? undefined
      : (this._brokenSinceMs ?? nowMs);
    return this._brokenSinceMs !== undefined && nowMs - this._brokenSinceMs >= rearrangeAfterMs;
  }

  /** Returns the spans that the engines should load, or undefined if the zone is to be left unchanged. */
  private async _findTarget(
    engines: readonly ZoneEngine[],
    model: placement.CopyModel,
    { isStable, isLongBroken }: { readonly isStable: boolean; readonly isLongBroken: boolean },
  ): Promise<Spans | undefined> {
    const spans = engines.map(toBalanced);
    if (spans.every(isEmpty)) return (await search(getFirstPlan(engines, model), model)).spans;
    if (!isComplete(spans, model))
      return (await repair(engines, spans, model)) ?? (isLongBroken ? rearrange(spans, model) : undefined);
    if (!isZoneComplete(engines, model)) return closeGapsWithEmptyEngines(engines, model);
    const filled = spans.some(isEmpty) ? await fill(spans, model) : undefined;
    if (filled !== undefined) return filled;
    const isSettled = engines.every((engine) => engine.ordered === undefined);
    if (!isSettled) return undefined;
    const minKvTokens = changeOverRequests * model.tokensPerRequest;
    const better = await search(spans, model, { minKvTokens });
    const requiredGain = isStable ? minGain : minUrgentGain;
    return better.cost <= better.costBefore - requiredGain ? better.spans : undefined;
  }
}

/**
 * Returns spans that close the gaps of a zone: extended spans if possible, since extending a span waits for no request, otherwise new spans
 * for engines whose layers others have loaded, too. Returns undefined if neither makes the zone complete.
 *
 * The first attempt lets engines load no more layers than are missing. The zone serves nothing until the last load is complete, and a load
 * takes 0.1 to 0.2 s per layer, so loading 26 layers for a gap of eight takes 5 s instead of 1.5 s.
 */
async function repair(
  engines: readonly ZoneEngine[],
  spans: Spans,
  model: placement.CopyModel,
): Promise<Spans | undefined> {
  const unused = new Set(
    [...engines.keys()].filter((index) => (engines[index]?.passingRequests ?? 0) <= maxPassingRequests),
  );
  for (const maxLoads of [countMissing(spans, model), Number.POSITIVE_INFINITY]) {
    for (const requests of [changeOverRequests, minRepairRequests]) {
      for (const relocatable of [undefined, unused]) {
        const minKvTokens = requests * model.tokensPerRequest;
        const options = { minKvTokens, relocatable, maxLoads, isGrowthOnly: true, maxShift: 1 };
        const repaired = await search(spans, model, options, (running) => running.isComplete);
        if (repaired.isComplete) return repaired.spans;
      }
    }
  }
  return undefined;
}

/** Returns the names of the engines with so few passing requests that the engines may drop their layers. */
function getRelocatable(engines: readonly ZoneEngine[]): string[] {
  return engines.flatMap(({ engine, passingRequests }) =>
    passingRequests <= maxPassingRequests ? [engine.name] : [],
  );
}

/** Returns the number of layers that no engine has loaded. */
function countMissing(spans: Spans, model: placement.CopyModel): number {
  let missing = 0;
  for (let layer = 0; layer < model.layerCount; layer++) {
    if (!spans.some(({ start, end }) => start <= layer && layer < end)) missing += 1;
  }
  return missing;
}

/** Returns the spans of a rearranged zone, planned from its current layers or from scratch, whichever has the lower cost. */
async function rearrange(spans: Spans, model: placement.CopyModel): Promise<Spans> {
  const rebalanced = await search(spans, model);
  const fresh = await search(getFirstPlan(spans, model), model);
  return rebalanced.cost <= fresh.cost ? rebalanced.spans : fresh.spans;
}

/**
 * Returns spans that close gaps with empty engines if the engines that were ordered to close them have to drop layers first. Such an order
 * waits for all passing requests, which may take as long as the longest stream. Returns undefined if there is no such gap.
 */
async function closeGapsWithEmptyEngines(
  engines: readonly ZoneEngine[],
  model: placement.CopyModel,
): Promise<Spans | undefined> {
  const certain = engines.map((member) =>
    toBalanced(
      isDroppingLayers(member, getExpectedSpan(member)) ? { ...member, ordered: undefined } : member,
    ),
  );
  if (!certain.some(isEmpty) || isComplete(certain, model)) return undefined;
  return (await search(certain, model, { isFillOnly: true }, (running) => running.isComplete)).spans;
}

/** Returns spans that assign layers to empty engines and leave the others unchanged, or undefined if the gain is too small. */
async function fill(spans: Spans, model: placement.CopyModel): Promise<Spans | undefined> {
  const filled = await search(spans, model, { isFillOnly: true });
  return filled.cost <= filled.costBefore - minFillGain ? filled.spans : undefined;
}

/** Returns whether every layer has capacity for a request. */
function isComplete(spans: Spans, model: placement.CopyModel): boolean {
  return new placement.ZoneArrangement(spans, model).isComplete;
}

function isEmpty(span: placement.BalancedSpan): boolean {
  return span.end === span.start;
}

/** Returns spans that form complete copies for a zone, regardless of the engines' current layers. */
function getFirstPlan(
  engines: readonly { readonly engine: placement.CopyEngine }[],
  model: placement.CopyModel,
): placement.BalancedSpan[] {
  const spans = placement.planLayerCopies(
    engines.map(({ engine }) => engine),
    model,
  );
  const byName = new Map(spans.map((span) => [span.name, span]));
  return engines.map(({ engine }) => ({ engine, start: 0, end: 0, ...byName.get(engine.name) }));
}

function toBalanced(member: ZoneEngine): placement.BalancedSpan {
  const { start, end } = getExpectedSpan(member);
  return { engine: member.engine, start, end };
}

/** Runs a search in slices until no improvement is left or `isEnough` returns true. */
async function search(
  spans: readonly placement.BalancedSpan[],
  model: placement.CopyModel,
  options: placement.BalanceOptions = {},
  isEnough: (running: placement.BalanceSearch) => boolean = () => false,
): Promise<placement.BalanceSearch> {
  const running = new placement.BalanceSearch(spans, model, options);
  let sliceEndMs = utils.monotonicMs() + searchSliceMs;
  while (!isEnough(running) && running.improve()) {
    if (utils.monotonicMs() < sliceEndMs) continue;
    await utils.yieldToEvents();
    sliceEndMs = utils.monotonicMs() + searchSliceMs;
  }
  return running;
}
