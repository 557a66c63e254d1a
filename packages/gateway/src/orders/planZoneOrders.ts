/** Decides which orders bring the engines of a zone from what they hold to a better balance, without a break of service. */
import * as placement from "@shedtiller/placement";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";

/** An engine of the zone. */
export interface ZoneEngine {
  readonly engine: placement.CopyEngine;
  /** Layers that it holds by the list; undefined where it holds none. */
  readonly listed: LayerSpan | undefined;
  /** Layers that it was ordered to hold and does not list yet. */
  readonly ordered: LayerSpan | undefined;
  /** Requests that pass it now, as far as this instance knows. */
  readonly passing: number;
  /** Whether it may get an order now. */
  readonly isFree: boolean;
}

/** An order to an engine. */
export interface ZoneOrder {
  readonly name: string;
  readonly span: LayerSpan;
  /** Whether the zone serves nothing until it is carried out. */
  readonly isUrgent: boolean;
}

/** Span of an engine that holds nothing. */
export const noLayers: LayerSpan = { start: 0, end: 0 };

/** What an engine holds or will hold soon. */
export function getExpectedSpan(member: ZoneEngine): LayerSpan {
  return member.ordered ?? member.listed ?? noLayers;
}

/** Whether chains inside the zone run all layers now. */
export function isZoneWhole(members: readonly ZoneEngine[], model: placement.CopyModel): boolean {
  const listed = members.flatMap((member) => member.listed ?? []);
  return placement.isCovered({ start: 0, end: model.layerCount }, listed);
}

/**
 * Plans orders towards `target` (in the order of `members`). Engines first take on what they will hold beside what they hold;
 * only when the others have loaded theirs do they give up the rest. Where the zone is not whole, nothing can pass anyway, and an
 * engine that cannot hold both is ordered straight to its target.
 */
export function planZoneOrders(
  members: readonly ZoneEngine[],
  target: readonly LayerSpan[],
  model: placement.CopyModel,
): ZoneOrder[] {
  const isWhole = isZoneWhole(members, model);
  const isSettled = members.every((member) => member.ordered === undefined);
  return members.flatMap((member, index) => {
    const wanted = target[index] ?? noLayers;
    if (!member.isFree || member.ordered !== undefined || wanted.end <= wanted.start) return [];
    const span = getNextSpan(member, wanted, model, isWhole);
    if (span === undefined) return [];
    const order = {
      name: member.engine.name,
      span: { start: span.start, end: span.end },
      isUrgent: !isWhole,
    };
    if (!isGivingUp(member, span)) return [order];
    const others = members.filter((other) => other !== member).flatMap((other) => other.listed ?? []);
    const isSafe =
      !isWhole || (isSettled && getGivenUp(member, span).every((part) => placement.isCovered(part, others)));
    return isSafe ? [order] : [];
  });
}

/** The span that an engine is ordered next on its way to `wanted`; undefined where it holds that already. */
function getNextSpan(
  member: ZoneEngine,
  wanted: LayerSpan,
  model: placement.CopyModel,
  isWhole: boolean,
): LayerSpan | undefined {
  const { listed } = member;
  if (listed === undefined) return wanted;
  if (listed.start === wanted.start && listed.end === wanted.end) return undefined;
  const both = { start: Math.min(listed.start, wanted.start), end: Math.max(listed.end, wanted.end) };
  const isGrowing = both.start < listed.start || both.end > listed.end;
  if (!isGrowing) return wanted;
  const hasRoom =
    placement.getKvTokenCapacity(member.engine, both.end - both.start, model) >= model.tokensPerRequest;
  if (hasRoom) return both;
  return isWhole ? undefined : wanted;
}

/** Whether an engine gives up some of the layers that it lists, to hold `span`. */
export function isGivingUp(member: ZoneEngine, span: LayerSpan): boolean {
  return getGivenUp(member, span).length > 0;
}

/** The parts of what an engine holds that are not in `span`. */
function getGivenUp(member: ZoneEngine, span: LayerSpan): LayerSpan[] {
  const { listed } = member;
  if (listed === undefined) return [];
  const parts = [
    { start: listed.start, end: Math.min(listed.end, span.start) },
    { start: Math.max(listed.start, span.end), end: listed.end },
  ];
  return parts.filter((part) => part.end > part.start);
}
