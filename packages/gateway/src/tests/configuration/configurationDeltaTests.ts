/** A change that is told leads to the same configuration as a read of the whole. */
import test from "ava";
import * as fc from "fast-check";
import {
  applyDelta,
  configurationDeltaSchema,
  countParts,
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
const configurations = fc.record({ routes, accounts }).map((parts) => ({
  ...createConfiguration(
    1,
    parts.routes.map((part): Route => createRoute(part)),
  ),
  accounts: parts.accounts,
}));

/** Neither the order of routes nor that of accounts means anything: the longest prefix and the key decide. */
function sort(configuration: GatewayConfiguration): unknown {
  const byName = (a: { name: string }, b: { name: string }): number => (a.name < b.name ? -1 : 1);
  return {
    ...configuration,
    routes: [...configuration.routes].sort(byName),
    accounts: [...(configuration.accounts ?? [])].sort(byName),
  };
}

test("a change joins on to its base, over the wire and back", (t) => {
  const property = fc.property(configurations, configurations, (base, changed) => {
    const next = { ...changed, version: 2 };
    const delta = getDelta(base, next);
    const told = configurationDeltaSchema.parse(JSON.parse(JSON.stringify(delta)));
    t.deepEqual(sort(applyDelta(base, told)), sort(next));
  });
  t.notThrows(() => fc.assert(property, { seed: 11, numRuns: 300 }));
});

test("only what changes is told", (t) => {
  const many = Array.from({ length: 1_000 }, (_value, index) => createRoute({ name: `r${index}` }));
  const next = [...many.slice(1), createRoute({ name: "new" })];
  const delta = getDelta(createConfiguration(1, many), createConfiguration(2, next));
  t.is(delta === undefined ? undefined : countParts(delta), 2);
});

test("names that stand twice, and keys that come altogether, are not told as a change", (t) => {
  const base = createConfiguration(1);
  const twice = createConfiguration(2, [createRoute(), createRoute()]);
  t.is(getDelta(base, twice), undefined);
  t.is(getDelta({ ...base, accounts: undefined }, createConfiguration(2)), undefined);
});
