/** Shares of requests between zones. */
import test from "ava";
import * as fc from "fast-check";
import { approachShares, computeFlows, type FlowShares } from "../flows/index.js";

const targetUtilization = 0.9;

function compute(
  zones: Readonly<Record<string, readonly [demand: number, capacity: number]>>,
): Record<string, unknown> {
  const balances = Object.entries(zones).map(
    ([zone, [demand, capacity]]) => [zone, { demand, capacity }] as const,
  );
  const flows = computeFlows(new Map(balances), targetUtilization);
  return Object.fromEntries([...flows].map(([zone, shares]) => [zone, Object.fromEntries(round(shares))]));
}

function round(shares: FlowShares): [string, number][] {
  return [...shares].map(([zone, share]) => [zone, Math.round(share * 1_000) / 1_000]);
}

test("below the target utilization every request stays at home", (t) => {
  t.deepEqual(compute({ a: [90, 100], b: [0, 100] }), { a: {}, b: {} });
});

test("demand beyond the target goes to the other zones in proportion to what they have left", (t) => {
  const flows = compute({ a: [120, 100], b: [30, 100], c: [60, 100] });
  t.deepEqual(flows, { a: { b: 0.167, c: 0.083 }, b: {}, c: {} });
});

test("if all zones together are beyond the target, their utilization is even", (t) => {
  t.deepEqual(compute({ a: [110, 100], b: [80, 100] }), { a: { b: 0.136 }, b: {} });
});

test("demand beyond the capacity of all zones stays at home", (t) => {
  t.deepEqual(compute({ a: [200, 100], b: [90, 100] }), { a: { b: 0.05 }, b: {} });
  t.deepEqual(compute({ a: [200, 100], b: [110, 100] }), { a: {}, b: {} });
});

test("a zone that doesn't run the whole model gets nothing, and gives all that others can take", (t) => {
  t.deepEqual(compute({ a: [50, 0], b: [20, 100] }), { a: { b: 1 }, b: {} });
  t.deepEqual(compute({ a: [50, 0] }), { a: {} });
});

test("no zone gets more than its capacity by flows, and no zone gives more than it has", (t) => {
  const zone = fc.record({ demand: fc.nat({ max: 300 }), capacity: fc.nat({ max: 200 }) });
  const property = fc.property(fc.array(zone, { minLength: 1, maxLength: 5 }), (list) => {
    const zones = new Map(list.map((balance, index) => [`z${index}`, balance]));
    const flows = [...computeFlows(zones, targetUtilization)];
    for (const [name, { demand, capacity }] of zones) {
      const inflow = flows.reduce(
        (sum, [from, shares]) => sum + (shares.get(name) ?? 0) * (zones.get(from)?.demand ?? 0),
        0,
      );
      const away = [...(flows.find(([from]) => from === name)?.[1].values() ?? [])].reduce(
        (a, b) => a + b,
        0,
      );
      if (away > 1 + 1e-9 || (inflow > 0 && demand + inflow > capacity + 1e-6)) return false;
    }
    return true;
  });
  fc.assert(property, { seed: 1 });
  t.pass();
});

test("a share approaches the new one slowly, ignores small differences, and ends at zero", (t) => {
  const takers = new Set(["b"]);
  const half = new Map([["b", 0.5]]);
  t.deepEqual(round(approachShares(new Map(), half, takers, 200)), [["b", 0.165]]);
  t.deepEqual(round(approachShares(half, new Map([["b", 0.46]]), takers, 200)), [["b", 0.5]]);
  let shares: FlowShares = half;
  for (let step = 0; step < 30; step++) shares = approachShares(shares, new Map(), takers, 200);
  t.is(shares.size, 0);
});

test("the share of a zone that can't take requests is zero at once", (t) => {
  t.is(approachShares(new Map([["b", 0.5]]), new Map([["b", 0.5]]), new Set(), 200).size, 0);
});
