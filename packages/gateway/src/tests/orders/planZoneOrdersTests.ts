/** Layers are given up only once others hold them; a zone that is broken anyway goes straight to its target. */
import test from "ava";
import type { LayerSpan } from "../../discovery/ListedEndpoint.js";
import { isZoneWhole, planZoneOrders, type ZoneEngine } from "../../orders/planZoneOrders.js";
import * as zoneParts from "./zoneParts.js";

const model = zoneParts.smallModel;
/** Holds five layers with room for a request. */
const memoryMb = 60;

function span(start: number, end: number): LayerSpan {
  return { start, end };
}

function createMember(name: string, listed: LayerSpan, changes: Partial<ZoneEngine> = {}): ZoneEngine {
  return zoneParts.createMember(name, listed, memoryMb, changes);
}

test("a boundary that shifts is loaded on the one side before the other gives it up", (t) => {
  const target = [span(0, 5), span(5, 8)];
  const before = [createMember("a", span(0, 4)), createMember("b", span(4, 8))];
  t.is(zoneParts.describeOrders(planZoneOrders(before, target, model)), "a=0-5");
  const loading = [createMember("a", span(0, 4), { ordered: span(0, 5), isFree: false }), before[1]];
  t.is(
    zoneParts.describeOrders(
      planZoneOrders(
        loading.flatMap((member) => member ?? []),
        target,
        model,
      ),
    ),
    "",
  );
  const loaded = [createMember("a", span(0, 5)), createMember("b", span(4, 8))];
  t.is(zoneParts.describeOrders(planZoneOrders(loaded, target, model)), "b=5-8");
});

test("nothing is given up while any engine of the zone still loads", (t) => {
  const members = [
    createMember("a", span(0, 5)),
    createMember("b", span(4, 8)),
    createMember("c", span(0, 0), { ordered: span(0, 3), isFree: false }),
  ];
  t.is(zoneParts.describeOrders(planZoneOrders(members, [span(0, 5), span(5, 8), span(0, 3)], model)), "");
});

test("engines that slide hold both spans in between", (t) => {
  const members = [
    createMember("a", span(0, 2)),
    createMember("b", span(2, 5)),
    createMember("c", span(5, 8)),
  ];
  const target = [span(0, 3), span(3, 6), span(6, 8)];
  t.is(zoneParts.describeOrders(planZoneOrders(members, target, model)), "a=0-3,b=2-6");
});

test("in a zone that is whole an engine that can't hold both spans stays as it is", (t) => {
  const members = [
    createMember("a", span(0, 4)),
    createMember("b", span(0, 4)),
    createMember("c", span(4, 8)),
  ];
  t.true(isZoneWhole(members, model));
  t.is(zoneParts.describeOrders(planZoneOrders(members, [span(4, 8), span(0, 4), span(4, 8)], model)), "");
});

test("in a zone that is broken it goes straight to its target", (t) => {
  const members = [createMember("a", span(0, 4)), createMember("b", span(0, 4))];
  t.false(isZoneWhole(members, model));
  t.is(zoneParts.describeOrders(planZoneOrders(members, [span(4, 8), span(0, 4)], model)), "a=4-8");
});

test("an engine that was just ordered or just failed gets no order", (t) => {
  const members = [createMember("a", span(0, 4), { isFree: false })];
  t.is(zoneParts.describeOrders(planZoneOrders(members, [span(0, 5)], model)), "");
});
