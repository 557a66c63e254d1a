/** What changes from one configuration to the next: versions have mostly the parts of the one before, some hundred or thousand. */
import * as zod from "zod";
import {
  callerLimitsSchema,
  gatewayAccountSchema,
  routeSchema,
  serviceSchema,
  type GatewayConfiguration,
} from "./gatewayConfiguration.js";

/** Parts that were added or changed, and the names of those that were removed. */
function createPartsSchema<T>(partSchema: zod.ZodType<T>) {
  return zod.object({ set: zod.array(partSchema), removed: zod.array(zod.string()) });
}

export const configurationDeltaSchema = zod.object({
  baseVersion: zod.number().int(),
  version: zod.number().int().nonnegative(),
  routes: createPartsSchema(routeSchema),
  services: createPartsSchema(serviceSchema),
  /** Undefined where neither version has keys. */
  accounts: createPartsSchema(gatewayAccountSchema).optional(),
  limits: callerLimitsSchema,
});
export type ConfigurationDelta = zod.infer<typeof configurationDeltaSchema>;

interface Named {
  readonly name: string;
}

interface PartsDelta<T> {
  readonly set: T[];
  readonly removed: string[];
}

/** Gives what changes from `base` to `next`; undefined where names are not unique, or where keys come or go altogether. */
export function getDelta(
  base: GatewayConfiguration,
  next: GatewayConfiguration,
): ConfigurationDelta | undefined {
  if ((base.accounts === undefined) !== (next.accounts === undefined)) return undefined;
  const routes = getPartsDelta(base.routes, next.routes);
  const services = getPartsDelta(base.services, next.services);
  const accounts = getPartsDelta(base.accounts ?? [], next.accounts ?? []);
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

/** Gives the configuration that a change leads to. Unchanged parts keep their order, and new ones follow. */
export function applyDelta(base: GatewayConfiguration, delta: ConfigurationDelta): GatewayConfiguration {
  return {
    version: delta.version,
    routes: applyParts(base.routes, delta.routes),
    services: applyParts(base.services, delta.services),
    accounts: delta.accounts === undefined ? undefined : applyParts(base.accounts ?? [], delta.accounts),
    limits: delta.limits,
  };
}

/** Parts that a change names. */
export function countParts({ routes, services, accounts }: ConfigurationDelta): number {
  const parts = [routes, services, accounts ?? { set: [], removed: [] }];
  return parts.reduce((sum, { set, removed }) => sum + set.length + removed.length, 0);
}

function getPartsDelta<T extends Named>(base: readonly T[], next: readonly T[]): PartsDelta<T> | undefined {
  const before = new Map(base.map((part) => [part.name, part]));
  const after = new Map(next.map((part) => [part.name, part]));
  if (before.size !== base.length || after.size !== next.length) return undefined;
  return {
    set: next.filter((part) => !isSame(part, before.get(part.name))),
    removed: [...before.keys()].filter((name) => !after.has(name)),
  };
}

function applyParts<T extends Named>(base: readonly T[], { set, removed }: PartsDelta<T>): T[] {
  const parts = new Map(base.map((part) => [part.name, part]));
  for (const name of removed) parts.delete(name);
  for (const part of set) parts.set(part.name, part);
  return [...parts.values()];
}

/** Parts that did not change are mostly the same object, since decoders keep those of the version before. */
function isSame(part: Named, other: Named | undefined): boolean {
  return part === other || JSON.stringify(part) === JSON.stringify(other);
}
