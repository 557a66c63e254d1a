/** Engines of a small zone, for the tests of zone planning. */
import type * as placement from "@shedtiller/placement";
import type { LayerSpan } from "../../discovery/ListedEndpoint.js";
import type { ZoneEngine, ZoneOrder } from "../../orders/planZoneOrders.js";

/** Eight layers of 10 MB; a request of 10 tokens takes 1 MB per layer. */
export const smallModel: placement.CopyModel = {
  layerCount: 8,
  layerMb: 10,
  kvMbPerTokenLayer: 0.1,
  tokensPerRequest: 10,
  answerTokens: 2,
  stepMs: 1,
  stepMsPerRequest: 0.01,
  hopMs: 0.25,
};

/** Creates an engine with a listed span, or without layers if the span is empty. */
export function createMember(
  name: string,
  { start, end }: LayerSpan,
  memoryMb: number,
  changes: Partial<ZoneEngine> = {},
): ZoneEngine {
  return {
    engine: { name, memoryMb, stepFactor: 1 },
    listed: end > start ? { start, end } : undefined,
    ordered: undefined,
    passingRequests: 0,
    isFree: true,
    ...changes,
  };
}

/** Formats orders as `name=start-end`, separated by commas. */
export function describeOrders(orders: readonly ZoneOrder[]): string {
  return orders.map(({ name, span: { start, end } }) => `${name}=${start}-${end}`).join(",");
}
