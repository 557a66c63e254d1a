/** Plans the next orders for the engines of one zone: a first arrangement, repairs, and a better balance. */
import { utils } from "@shedtiller/common";
import * as placement from "@shedtiller/placement";
import {
  getExpectedSpan,
  isZoneWhole,
  planZoneOrders,
  type ZoneEngine,
  type ZoneOrder,
} from "./planZoneOrders.js";

/**
 * A zone that is whole is rearranged only if that lowers the cost of its arrangement to this share or less: a shift of one
 * boundary loads layers at two engines or more.
 */
const worthwhileCostShare = 0.97;
/** While engines of a zone that serves change over, this share of the wanted tokens has to fit at each of them. */
const changeOverRoomShare = 0.5;
/** A search for a better arrangement lets other work in after this long. */
const searchSliceMs = 4;

/** Plans for one zone; remembers what led to no order. */
export class ZonePlanner {
  private _settledState = "";

  /** Gives the orders that are due now. */
  async plan(
    engines: readonly ZoneEngine[],
    model: placement.CopyModel,
    wantedTokens: number,
  ): Promise<ZoneOrder[]> {
    const state = JSON.stringify(engines);
    if (state === this._settledState) return [];
    const target = await this._findTarget(engines, model, wantedTokens);
    const orders = target === undefined ? [] : planZoneOrders(engines, target, model);
    if (orders.length === 0) this._settledState = state;
    return orders;
  }

  /** The spans that the engines should hold; undefined where they are left as they are. */
  private async _findTarget(
    engines: readonly ZoneEngine[],
    model: placement.CopyModel,
    wantedTokens: number,
  ): Promise<readonly placement.BalancedSpan[] | undefined> {
    const held = engines.map(toBalanced);
    if (held.every((span) => span.end === span.start)) {
      const first = getFirstPlan(engines, model);
      return (await search(first, model, { wantedTokens })).spans;
    }
    const isWholeSoon = new placement.BalanceSearch(held, model, { wantedTokens }).isWhole;
    if (!isWholeSoon) return this._repair(held, model, wantedTokens);
    const isSettled = isZoneWhole(engines, model) && engines.every((engine) => engine.ordered === undefined);
    if (!isSettled) return undefined;
    const leastTokensBeside = wantedTokens * changeOverRoomShare;
    const better = await search(held, model, { wantedTokens, leastTokensBeside });
    return better.cost < better.costBefore * worthwhileCostShare ? better.spans : undefined;
  }

  /** Closes gaps by growth alone, which waits for nothing that passes; a zone that can't be made whole so starts anew. */
  private async _repair(
    held: readonly placement.BalancedSpan[],
    model: placement.CopyModel,
    wantedTokens: number,
  ): Promise<readonly placement.BalancedSpan[]> {
    const leastTokensBeside = placement.getMinTokensBeside(model);
    const grown = await search(held, model, { wantedTokens, isGrowthOnly: true, leastTokensBeside });
    if (grown.isWhole) return grown.spans;
    return (await search(held, model, { wantedTokens })).spans;
  }
}

/** Whole copies for a zone whose engines hold nothing. */
function getFirstPlan(engines: readonly ZoneEngine[], model: placement.CopyModel): placement.BalancedSpan[] {
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

/** Runs a search to its end, in slices. */
async function search(
  held: readonly placement.BalancedSpan[],
  model: placement.CopyModel,
  options: placement.BalanceOptions,
): Promise<placement.BalanceSearch> {
  const running = new placement.BalanceSearch(held, model, options);
  let sliceEndMs = utils.monotonicMs() + searchSliceMs;
  while (running.improve()) {
    if (utils.monotonicMs() < sliceEndMs) continue;
    await utils.yieldToEvents();
    sliceEndMs = utils.monotonicMs() + searchSliceMs;
  }
  return running;
}
