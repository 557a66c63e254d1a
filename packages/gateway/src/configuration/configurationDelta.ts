/** Deltas between versions of the configuration. A version shares most of its hundreds or thousands of items with the previous one. */
import * as zod from "zod";
import {
  callerLimitsSchema,
  gatewayAccountSchema,
  routeSchema,
  serviceSchema,
  type GatewayConfiguration,
} from "./gatewayConfiguration.js";

/** Creates the schema of a delta of named items: those added or changed, and the names of those removed. */
function createItemsSchema<T>(itemSchema: zod.ZodType<T>) {
  return zod.object({ set: zod.array(itemSchema), removed: zod.array(zod.string()) });
}

export const configurationDeltaSchema = zod.object({
  baseVersion: zod.number().int(),
  version: zod.number().int().nonnegative(),
  routes: createItemsSchema(routeSchema),
  services: createItemsSchema(serviceSchema),
  /** Undefined if neither version has client accounts. */
  accounts: createItemsSchema(gatewayAccountSchema).optional(),
  limits: callerLimitsSchema,
});
export type ConfigurationDelta = zod.infer<typeof configurationDeltaSchema>;

interface Named {
  readonly name: string;
}

interface ItemsDelta<T> {
  readonly set: T[];
  readonly removed: string[];
}

/** Returns the delta from `base` to `next`, or undefined if names are not unique or only one of the versions has client accounts. */
export function getDelta(
  base: GatewayConfiguration,
  next: GatewayConfiguration,
): ConfigurationDelta | undefined {
  if ((base.accounts === undefined) !== (next.accounts === undefined)) return undefined;
  const routes = getItemsDelta(base.routes, next.routes);
  const services = getItemsDelta(base.services, next.services);
  const accounts = getItemsDelta(base.accounts ?? [], next.accounts ?? []);
  if (routes === undefined || services === undefined || accounts === undefined) return undefined;
  return {
    baseVersion: base.version,
    version: next.version,
    routes,
    services,
    accounts: next.accounts === undefined ? undefined : accounts,
    limits: next.limits,
  };
}

/** Applies a delta to its base version. Unchanged items keep their order, and new ones follow. */
export function applyDelta(base: GatewayConfiguration, delta: ConfigurationDelta): GatewayConfiguration {
  return {
    version: delta.version,
    routes: applyItems(base.routes, delta.routes),
    services: applyItems(base.services, delta.services),
    accounts: delta.accounts === undefined ? undefined : applyItems(base.accounts ?? [], delta.accounts),
    limits: delta.limits,
  };
}

/** Returns the number of items that a delta sets or removes. */
export function countItems({ routes, services, accounts }: ConfigurationDelta): number {
  const deltas = [routes, services, accounts ?? { set: [], removed: [] }];
  return deltas.reduce((sum, { set, removed }) => sum + set.length + removed.length, 0);
}

function getItemsDelta<T extends Named>(base: readonly T[], next: readonly T[]): ItemsDelta<T> | undefined {
  const before = new Map(base.map((item) => [item.name, item]));
  const after = new Map(next.map((item) => [item.name, item]));
  if (before.size !== base.length || after.size !== next.length) return undefined;
  return {
    set: next.filter((item) => !isSame(item, before.get(item.name))),
    removed: [...before.keys()].filter((name) => !after.has(name)),
  };
}

function applyItems<T extends Named>(base: readonly T[], { set, removed }: ItemsDelta<T>): T[] {
  const items = new Map(base.map((item) => [item.name, item]));
  for (const name of removed) items.delete(name);
  for (const item of set) items.set(item.name, item);
  return [...items.values()];
}

/** Compares two items. Unchanged items are mostly the same object, since decoders reuse those of the previous version. */
function isSame(item: Named, other: Named | undefined): boolean {
  return item === other || JSON.stringify(item) === JSON.stringify(other);
}
