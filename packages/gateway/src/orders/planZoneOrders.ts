import * as placement from "@shedtiller/placement";
import type { LayerSpan } from "../discovery/ListedEndpoint.js";

/** An engine of the zone that is planned. */
export interface ZoneEngine {
  readonly engine: placement.CopyEngine;
  /** Layers that the engine has loaded according to the list; undefined if it has none. */
  readonly listed: LayerSpan | undefined;
  /** Layers that the engine was ordered to load and that are not listed yet. */
  readonly ordered: LayerSpan | undefined;
  /** Requests that pass through the engine now, by the loads that this instance has received from its peers and its own load. */
  readonly passingRequests: number;
  /** Whether the engine may receive an order now. */
  readonly isFree: boolean;
}

/** An order to an engine. */
export interface ZoneOrder {
  readonly name: string;
  readonly span: LayerSpan;
  /** Whether the zone serves nothing until the order has been executed. */
  readonly isUrgent: boolean;
}

/** Span of an engine without layers. */
export const noLayers: LayerSpan = { start: 0, end: 0 };

/** Returns the span that an engine has loaded or will have loaded soon. */
export function getExpectedSpan(member: ZoneEngine): LayerSpan {
  return member.ordered ?? member.listed ?? noLayers;
}

/** Returns whether chains inside the zone cover all layers now. */
export function isZoneComplete(members: readonly ZoneEngine[], model: placement.CopyModel): boolean {
  const listed = members.flatMap((member) => member.listed ?? []);
  return placement.isCovered({ start: 0, end: model.layerCount }, listed);
}

/**
 * Plans orders that move the engines of a zone towards `target` (in the order of `members`) without interrupting the service. Engines load
 * their new layers beside the current ones first, and drop the rest only when the other engines have loaded theirs. Where the zone is not
 * complete, no request can pass anyway, and an engine without capacity for both spans is ordered directly to its target.
 */
export function planZoneOrders(
  members: readonly ZoneEngine[],
  target: readonly LayerSpan[],
  model: placement.CopyModel,
): ZoneOrder[] {
  const isComplete = isZoneComplete(members, model);
  const isSettled = members.every((member) => member.ordered === undefined);
  return members.flatMap((member, index) => {
    const targetSpan = target[index] ?? noLayers;
    if (!member.isFree || member.ordered !== undefined || targetSpan.end <= targetSpan.start) return [];
    const span = getNextSpan(member, targetSpan, model, isComplete);
    if (span === undefined) return [];
    const order = {
      name: member.engine.name,
      span: { start: span.start, end: span.end },
      isUrgent: !isComplete,
    };
    if (!isDroppingLayers(member, span)) return [order];
    const others = members.filter((other) => other !== member).flatMap((other) => other.listed ?? []);
    const isSafe =
      !isComplete ||
      (isSettled && getDroppedSpans(member, span).every((dropped) => placement.isCovered(dropped, others)));
    return isSafe ? [order] : [];
  });
}

/** Returns the next span for an engine on its way to `targetSpan`, or undefined if the engine already has that span or has to wait. */
function getNextSpan(
  member: ZoneEngine,
  targetSpan: LayerSpan,
  model: placement.CopyModel,
  isComplete: boolean,
): LayerSpan | undefined {
  const { listed } = member;
  if (listed === undefined) return targetSpan;
  if (listed.start === targetSpan.start && listed.end === targetSpan.end) return undefined;
  const both = { start: Math.min(listed.start, targetSpan.start), end: Math.max(listed.end, targetSpan.end) };
  const isGrowing = both.start < listed.start || both.end > listed.end;
  if (!isGrowing) return targetSpan;
  const hasCapacity =
    placement.getKvTokenCapacity(member.engine, both.end - both.start, model) >= model.tokensPerRequest;
  if (hasCapacity) return both;
  return isComplete ? undefined : targetSpan;
}

/** Returns whether an engine drops some of its listed layers in order to load `span`. */
export function isDroppingLayers(member: ZoneEngine, span: LayerSpan): boolean {
  return getDroppedSpans(member, span).length > 0;
}

/** Returns the orders that make no engine drop layers. */
export function withoutDrops(orders: readonly ZoneOrder[], members: readonly ZoneEngine[]): ZoneOrder[] {
  const byName = new Map(members.map((member) => [member.engine.name, member]));
  return orders.filter(({ name, span }) => {
    const member = byName.get(name);
    return member !== undefined && !isDroppingLayers(member, span);
  });
}

/** Returns the spans of an engine's listed layers that lie outside `span`. */
function getDroppedSpans(member: ZoneEngine, span: LayerSpan): LayerSpan[] {
  const { listed } = member;
  if (listed === undefined) return [];
  const outside = [
    { start: listed.start, end: Math.min(listed.end, span.start) },
    { start: Math.max(listed.start, span.end), end: listed.end },
  ];
  return outside.filter((dropped) => dropped.end > dropped.start);
}
