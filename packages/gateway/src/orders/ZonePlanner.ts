/** Plans the next orders for the engines of one zone: a first arrangement, repairs, and a better balance. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import {
  getExpectedSpan,
  isGivingUp,
  isZoneWhole,
  planZoneOrders,
  type ZoneEngine,
  type ZoneOrder,
} from "./planZoneOrders.js";

/**
 * A zone that serves is rearranged only if that is worth this much, as the logarithm of a factor on the rate of requests. Engines
 * that give layers up take no other order until what passes there has ended, which takes as long as the longest stream.
 */
const worthwhileGain = Math.log(1.1);
/** An engine that holds nothing gets work if that is worth this much; nothing waits for it. */
const worthwhileFillGain = Math.log(1.005);
/** A zone that is left with little room by a repair is rearranged for this much without waiting for calm. */
const urgentGain = Math.log(1.5);
/** A zone is rearranged once its engines have stood as they are for this long; a loss is often followed by a return. */
const calmMs = 2_000;
/**
 * A zone that can't be repaired is arranged anew after this long. Before that the lost engine is often back (3 to 5 s on the users'
 * days), and an arrangement anew waits for all that passes the zone's engines.
 */
const arrangedAnewAfterMs = 4_000;
/** While engines of a zone that serves change over, this many usual requests have to fit at each of them. */
const changeOverRequests = 40;
/** A repair that leaves less room than for this many usual requests is not worth its loads. */
const leastRepairRequests = 16;
/** An engine that more requests pass does not leave its layers for a gap: it would wait for the longest of them. */
const mostPassing = 2;
/** A search for a better arrangement lets other work in after this long. */
const searchSliceMs = 4;

type Spans = readonly placement.BalancedSpan[];

/** Plans for one zone; remembers what led to no order, and since when its engines stand as they are. */
export class ZonePlanner {
  private _settledState = "";
  /** Engines that could leave their layers in a plan of that state. Each one leads to one search more at the most. */
  private readonly _tried = new Set<string>();
  private _lastSpans = "";
  private _calmSinceMs = 0;
  /** Since when the zone has had layers that no engine holds or is to hold. */
  private _brokenSinceMs: number | undefined;

  /** @param _nowMs - Monotonic clock, replaced in tests. */
  constructor(private readonly _nowMs: () => number = utils.monotonicMs) {}

  /** Gives the orders that are due now. */
  async plan(engines: readonly ZoneEngine[], usualModel: placement.CopyModel): Promise<ZoneOrder[]> {
    const copyEngines = engines.map(({ engine }) => engine);
    const model = { ...usualModel, burstRequests: placement.getBurstRequests(copyEngines, usualModel) };
    const isCalm = this._noteSpans(engines);
    const isBrokenForLong = this._noteBroken(engines, model);
    // Requests come and go all the time, and lead to no order by themselves.
    const state = JSON.stringify([
      engines.map((engine) => ({ ...engine, passing: 0 })),
      isCalm,
      isBrokenForLong,
    ]);
    if (state === this._settledState && !this._isAnyFreed(engines)) return [];
    const target = await this._findTarget(engines, model, { isCalm, isBrokenForLong });
    const orders = target === undefined ? [] : planZoneOrders(engines, target, model);
    if (orders.length === 0) this._settle(state, engines);
    return orders;
  }

  /** Whether an engine of a broken zone may leave its layers now that was in use in each plan that led to nothing. */
  private _isAnyFreed(engines: readonly ZoneEngine[]): boolean {
    return this._brokenSinceMs !== undefined && getLeavable(engines).some((name) => !this._tried.has(name));
  }

  private _settle(state: string, engines: readonly ZoneEngine[]): void {
    if (state !== this._settledState) this._tried.clear();
    this._settledState = state;
    for (const name of getLeavable(engines)) this._tried.add(name);
  }

  /** Tells whether the engines have held the same for long enough. */
  private _noteSpans(engines: readonly ZoneEngine[]): boolean {
    const nowMs = this._nowMs();
    const spans = JSON.stringify(engines.map((engine) => [engine.engine.name, getExpectedSpan(engine)]));
    if (spans !== this._lastSpans) this._calmSinceMs = nowMs;
    this._lastSpans = spans;
    return nowMs - this._calmSinceMs >= calmMs;
  }

  /** Tells whether the zone has been broken for so long that the lost engine may be gone for good. */
  private _noteBroken(engines: readonly ZoneEngine[], model: placement.CopyModel): boolean {
    const nowMs = this._nowMs();
    this._brokenSinceMs = isWhole(engines.map(toBalanced), model)
      ? undefined
      : (this._brokenSinceMs ?? nowMs);
    return this._brokenSinceMs !== undefined && nowMs - this._brokenSinceMs >= arrangedAnewAfterMs;
  }

  /** The spans that the engines should hold; undefined where they are left as they are. */
  private async _findTarget(
    engines: readonly ZoneEngine[],
    model: placement.CopyModel,
    { isCalm, isBrokenForLong }: { readonly isCalm: boolean; readonly isBrokenForLong: boolean },
  ): Promise<Spans | undefined> {
    const held = engines.map(toBalanced);
    if (held.every(isEmpty)) return (await search(getFirstPlan(engines, model), model)).spans;
    if (!isWhole(held, model))
      return (await repair(engines, held, model)) ?? (isBrokenForLong ? arrangeAnew(held, model) : undefined);
    if (!isZoneWhole(engines, model)) return closeSooner(engines, model);
    const filled = held.some(isEmpty) ? await fill(held, model) : undefined;
    if (filled !== undefined) return filled;
    const isSettled = engines.every((engine) => engine.ordered === undefined);
    if (!isSettled) return undefined;
    const leastTokensBeside = changeOverRequests * model.tokensPerRequest;
    const better = await search(held, model, { minKvTokens: leastTokensBeside });
    const leastGain = isCalm ? worthwhileGain : urgentGain;
    return better.cost <= better.costBefore - leastGain ? better.spans : undefined;
  }
}

/**
 * Closes gaps by growth alone, which waits for nothing that passes, or else with engines whose layers others hold too. Undefined where
 * neither makes the zone whole. First with engines that load no more layers than are missing: a zone serves nothing until the last load
 * is done, and loads take 0.1 to 0.2 s a layer, so 26 layers for a gap of eight cost five seconds instead of one and a half.
 */
async function repair(
  engines: readonly ZoneEngine[],
  held: Spans,
  model: placement.CopyModel,
): Promise<Spans | undefined> {
  const unused = new Set(
    [...engines.keys()].filter((index) => (engines[index]?.passing ?? 0) <= mostPassing),
  );
  for (const mostLoads of [countMissing(held, model), Number.POSITIVE_INFINITY]) {
    for (const requests of [changeOverRequests, leastRepairRequests]) {
      for (const leavable of [undefined, unused]) {
        const leastTokensBeside = requests * model.tokensPerRequest;
        const options = {
          minKvTokens: leastTokensBeside,
          relocatable: leavable,
          maxLoads: mostLoads,
          isGrowthOnly: true,
          maxShift: 1,
        };
        const repaired = await search(held, model, options, (running) => running.isComplete);
        if (repaired.isComplete) return repaired.spans;
      }
    }
  }
  return undefined;
}

/** Names of engines that few enough requests pass to leave their layers. */
function getLeavable(engines: readonly ZoneEngine[]): string[] {
  return engines.flatMap(({ engine, passing }) => (passing <= mostPassing ? [engine.name] : []));
}

/** Layers that no engine holds. */
function countMissing(held: Spans, model: placement.CopyModel): number {
  let missing = 0;
  for (let layer = 0; layer < model.layerCount; layer++) {
    if (!held.some(({ start, end }) => start <= layer && layer < end)) missing += 1;
  }
  return missing;
}

/** Arranges a zone anew, from what its engines hold or from nothing, whichever ends better. */
async function arrangeAnew(held: Spans, model: placement.CopyModel): Promise<Spans> {
  const moved = await search(held, model);
  const anew = await search(getFirstPlan(held, model), model);
  return moved.cost <= anew.cost ? moved.spans : anew.spans;
}

/**
 * Closes gaps with engines that hold nothing, where those that were ordered to close them have to give layers up first: these wait
 * for what passes there, which may take as long as the longest stream. Undefined where no such gap is left.
 */
async function closeSooner(
  engines: readonly ZoneEngine[],
  model: placement.CopyModel,
): Promise<Spans | undefined> {
  const sure = engines.map((member) =>
    toBalanced(isGivingUp(member, getExpectedSpan(member)) ? { ...member, ordered: undefined } : member),
  );
  if (!sure.some(isEmpty) || isWhole(sure, model)) return undefined;
  return (await search(sure, model, { isFillOnly: true }, (running) => running.isComplete)).spans;
}

/** Gives engines that hold nothing work, and leaves the others as they are. */
async function fill(held: Spans, model: placement.CopyModel): Promise<Spans | undefined> {
  const filled = await search(held, model, { isFillOnly: true });
  return filled.cost <= filled.costBefore - worthwhileFillGain ? filled.spans : undefined;
}

/** Whether every layer has room for a request. */
function isWhole(spans: Spans, model: placement.CopyModel): boolean {
  return new placement.ZoneArrangement(spans, model).isComplete;
}

function isEmpty(span: placement.BalancedSpan): boolean {
  return span.end === span.start;
}

/** Whole copies for a zone, whatever its engines hold. */
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

/** Runs a search, in slices, until nothing helps any more or `isEnough` says so. */
async function search(
  held: readonly placement.BalancedSpan[],
  model: placement.CopyModel,
  options: placement.BalanceOptions = {},
  isEnough: (running: placement.BalanceSearch) => boolean = () => false,
): Promise<placement.BalanceSearch> {
  const running = new placement.BalanceSearch(held, model, options);
  let sliceEndMs = utils.monotonicMs() + searchSliceMs;
  while (!isEnough(running) && running.improve()) {
    if (utils.monotonicMs() < sliceEndMs) continue;
    await utils.yieldToEvents();
    sliceEndMs = utils.monotonicMs() + searchSliceMs;
  }
  return running;
}
