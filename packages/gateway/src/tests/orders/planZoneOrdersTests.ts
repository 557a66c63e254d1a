/** Tests that layers are dropped only once other engines have loaded them, and that a broken zone is ordered directly to its target. */
import test from "ava";
import type { LayerSpan } from "../../discovery/ListedEndpoint.js";
import {
  isZoneComplete,
  planZoneOrders,
  withoutDrops,
  type ZoneEngine,
} from "../../orders/planZoneOrders.js";
import * as zoneTestData from "./zoneTestData.js";

const model = zoneTestData.smallModel;
/** Memory for five layers with capacity for a request. */
const memoryMb = 60;

function span(start: number, end: number): LayerSpan {
  return { start, end };
}

function createMember(name: string, listed: LayerSpan, changes: Partial<ZoneEngine> = {}): ZoneEngine {
  return zoneTestData.createMember(name, listed, memoryMb, changes);
}

test("a boundary between two engines shifts by a load at one of them before the other drops its layers", (t) => {
  const target = [span(0, 5), span(5, 8)];
  const before = [createMember("a", span(0, 4)), createMember("b", span(4, 8))];
  t.is(zoneTestData.describeOrders(planZoneOrders(before, target, model)), "a=0-5");
  const loading = [createMember("a", span(0, 4), { ordered: span(0, 5), isFree: false }), before[1]];
  t.is(
    zoneTestData.describeOrders(
      planZoneOrders(
        loading.flatMap((member) => member ?? []),
        target,
        model,
      ),
    ),
    "",
  );
  const loaded = [createMember("a", span(0, 5)), createMember("b", span(4, 8))];
  t.is(zoneTestData.describeOrders(planZoneOrders(loaded, target, model)), "b=5-8");
});

test("no layers are dropped while any engine of the zone is still loading", (t) => {
  const members = [
    createMember("a", span(0, 5)),
    createMember("b", span(4, 8)),
    createMember("c", span(0, 0), { ordered: span(0, 3), isFree: false }),
  ];
  t.is(zoneTestData.describeOrders(planZoneOrders(members, [span(0, 5), span(5, 8), span(0, 3)], model)), "");
});

test("engines that shift their span have both spans loaded in between", (t) => {
  const members = [
    createMember("a", span(0, 2)),
    createMember("b", span(2, 5)),
    createMember("c", span(5, 8)),
  ];
  const target = [span(0, 3), span(3, 6), span(6, 8)];
  t.is(zoneTestData.describeOrders(planZoneOrders(members, target, model)), "a=0-3,b=2-6");
});

test("in a complete zone an engine without capacity for both spans is left unchanged", (t) => {
  const members = [
    createMember("a", span(0, 4)),
    createMember("b", span(0, 4)),
    createMember("c", span(4, 8)),
  ];
  t.true(isZoneComplete(members, model));
  t.is(zoneTestData.describeOrders(planZoneOrders(members, [span(4, 8), span(0, 4), span(4, 8)], model)), "");
});

test("in a broken zone an engine without capacity for both spans is ordered directly to its target", (t) => {
  const members = [createMember("a", span(0, 4)), createMember("b", span(0, 4))];
  t.false(isZoneComplete(members, model));
  t.is(zoneTestData.describeOrders(planZoneOrders(members, [span(4, 8), span(0, 4)], model)), "a=4-8");
});

test("an engine with a recent order or failure gets no order", (t) => {
  const members = [createMember("a", span(0, 4), { isFree: false })];
  t.is(zoneTestData.describeOrders(planZoneOrders(members, [span(0, 5)], model)), "");
});

// Guards against engines that drop layers which requests need, on the word of a leader that does not reach most of their zone.
test("of the orders for a zone that is hardly reached, those remain that add layers", (t) => {
  const members = [
    createMember("a", span(0, 4)),
    createMember("b", span(0, 4)),
    createMember("c", span(0, 0)),
  ];
  const orders = [
    { name: "a", span: span(0, 6), isUrgent: true },
    { name: "b", span: span(2, 8), isUrgent: true },
    { name: "c", span: span(4, 8), isUrgent: true },
  ];
  t.is(zoneTestData.describeOrders(withoutDrops(orders, members)), "a=0-6,c=4-8");
});
