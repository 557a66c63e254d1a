/** Tests that applying a delta leads to the same configuration as reading the whole one. */
import test from "ava";
import * as fc from "fast-check";
import {
  applyDelta,
  configurationDeltaSchema,
  countItems,
  getDelta,
} from "../../configuration/configurationDelta.js";
import type { GatewayConfiguration, Route } from "../../configuration/gatewayConfiguration.js";
import { createConfiguration, createRoute } from "../testData.js";

const routes = fc.uniqueArray(
  fc.record({ name: fc.constantFrom("a", "b", "c", "d", "e"), timeoutMs: fc.integer({ min: 1, max: 3 }) }),
  { selector: ({ name }) => name },
);
const accounts = fc.uniqueArray(
  fc.record({
    name: fc.constantFrom("x", "y", "z"),
    apiKeys: fc.array(fc.constantFrom("k1", "k2"), { maxLength: 2 }),
  }),
  { selector: ({ name }) => name },
);
const configurations = fc.record({ routes, accounts }).map((items) => ({
  ...createConfiguration(
    1,
    items.routes.map((route): Route => createRoute(route)),
  ),
  accounts: items.accounts,
}));

/** Sorts routes and accounts. Their order has no meaning, since the longest prefix and the key decide. */
function sort(configuration: GatewayConfiguration): unknown {
  const byName = (a: { name: string }, b: { name: string }): number => (a.name < b.name ? -1 : 1);
  return {
    ...configuration,
    routes: [...configuration.routes].sort(byName),
    accounts: [...(configuration.accounts ?? [])].sort(byName),
  };
}

test("a delta that was serialized and parsed applies to its base", (t) => {
  const property = fc.property(configurations, configurations, (base, changed) => {
    const next = { ...changed, version: 2 };
    const delta = getDelta(base, next);
    const parsed = configurationDeltaSchema.parse(JSON.parse(JSON.stringify(delta)));
    t.deepEqual(sort(applyDelta(base, parsed)), sort(next));
  });
  t.notThrows(() => fc.assert(property, { seed: 11, numRuns: 300 }));
});

test("a delta contains only the changed items", (t) => {
  const many = Array.from({ length: 1_000 }, (_value, index) => createRoute({ name: `r${index}` }));
  const next = [...many.slice(1), createRoute({ name: "new" })];
  const delta = getDelta(createConfiguration(1, many), createConfiguration(2, next));
  t.is(delta === undefined ? undefined : countItems(delta), 2);
});

test("there is no delta for duplicate names, or if only one version has client accounts", (t) => {
  const base = createConfiguration(1);
  const duplicate = createConfiguration(2, [createRoute(), createRoute()]);
  t.is(getDelta(base, duplicate), undefined);
  t.is(getDelta({ ...base, accounts: undefined }, createConfiguration(2)), undefined);
});
