import { utils } from "@shedtiller/common";

/**
 * Returns how many other instances may try a request before this one after its quarantine. Every instance computes the same order, even if
 * some instances cannot be reached, and each request has an order of its own.
 */
export function getTrialRank(digest: string, ownName: string, names: readonly string[]): number {
  const getHash = (name: string): number => utils.hash32(`${digest}\u0000${name}`);
  const own = getHash(ownName);
  return names.filter((name) => getHash(name) < own).length;
}
