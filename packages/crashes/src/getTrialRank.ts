/** The order in which instances may try a request after its hold. */
import { utils } from "@shedtiller/common";

/** Gives how many others come first: the same order at each instance, also where some are cut off, and another one for each request. */
export function getTrialRank(digest: string, ownName: string, names: readonly string[]): number {
  const getPlace = (name: string): number => utils.hash32(`${digest}\u0000${name}`);
  const own = getPlace(ownName);
  return names.filter((name) => getPlace(name) < own).length;
}
