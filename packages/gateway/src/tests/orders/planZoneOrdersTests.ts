/** Layers are given up only once others hold them; a zone that is broken anyway goes straight to its target. */
import test from "ava";
import type * as placement from "@shedtiller/placement";
import type { LayerSpan } from "../../discovery/ListedEndpoint.js";
import { isZoneWhole, planZoneOrders, type ZoneEngine, type ZoneOrder } from "../../orders/planZoneOrders.js";

/** Eight layers of 10 MB; an engine of 60 MB holds five with room for requests. */
const model: placement.CopyModel = {
  layerCount: 8,
  layerMb: 10,
  kvMbPerTokenLayer: 0.1,
  tokensPerRequest: 10,
  answerTokens: 2,
  stepMs: 1,
  stepMsPerRequest: 0.01,
  hopMs: 0.25,
};

function span(start: number, end: number): LayerSpan {
  return { start, end };
}

function createMember(
  name: string,
  listed: LayerSpan | undefined,
  changes: Partial<ZoneEngine> = {},
): ZoneEngine {
  return {
    engine: { name, memoryMb: 60, stepFactor: 1 },
    listed,
    ordered: undefined,
    isFree: true,
    ...changes,
  };
}

function describe(orders: readonly ZoneOrder[]): string {
  return orders.map(({ name, span: { start, end } }) => `${name}=${start}-${end}`).join(",");
}

test("a boundary that shifts is loaded on the one side before the other gives it up", (t) => {
  const target = [span(0, 5), span(5, 8)];
  const before = [createMember("a", span(0, 4)), createMember("b", span(4, 8))];
  t.is(describe(planZoneOrders(before, target, model)), "a=0-5");
  const loading = [createMember("a", span(0, 4), { ordered: span(0, 5), isFree: false }), before[1]];
  t.is(
    describe(
      planZoneOrders(
        loading.flatMap((member) => member ?? []),
        target,
        model,
      ),
    ),
    "",
  );
  const loaded = [createMember("a", span(0, 5)), createMember("b", span(4, 8))];
  t.is(describe(planZoneOrders(loaded, target, model)), "b=5-8");
});

test("nothing is given up while any engine of the zone still loads", (t) => {
  const members = [
    createMember("a", span(0, 5)),
    createMember("b", span(4, 8)),
    createMember("c", undefined, { ordered: span(0, 3), isFree: false }),
  ];
  t.is(describe(planZoneOrders(members, [span(0, 5), span(5, 8), span(0, 3)], model)), "");
});

test("engines that slide hold both spans in between", (t) => {
  const members = [
    createMember("a", span(0, 2)),
    createMember("b", span(2, 5)),
    createMember("c", span(5, 8)),
  ];
  const target = [span(0, 3), span(3, 6), span(6, 8)];
  t.is(describe(planZoneOrders(members, target, model)), "a=0-3,b=2-6");
});

test("in a zone that is whole an engine that can't hold both spans stays as it is", (t) => {
  const members = [
    createMember("a", span(0, 4)),
    createMember("b", span(0, 4)),
    createMember("c", span(4, 8)),
  ];
  t.true(isZoneWhole(members, model));
  t.is(describe(planZoneOrders(members, [span(4, 8), span(0, 4), span(4, 8)], model)), "");
});

test("in a zone that is broken it goes straight to its target", (t) => {
  const members = [createMember("a", span(0, 4)), createMember("b", span(0, 4))];
  t.false(isZoneWhole(members, model));
  t.is(describe(planZoneOrders(members, [span(4, 8), span(0, 4)], model)), "a=4-8");
});

test("an engine that was just ordered or just failed gets no order", (t) => {
  const members = [createMember("a", span(0, 4), { isFree: false })];
  t.is(describe(planZoneOrders(members, [span(0, 5)], model)), "");
});
