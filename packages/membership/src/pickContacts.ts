/** Picks the few instances of each other zone that an instance keeps links to. */
import { utils } from "@shedtiller/common";
import type { Member } from "./Member.js";

const contactsPerZone = 3;

/** Gives the names of the contacts of `selfName` among the members of other zones, spread by rendezvous hashing. */
export function pickContacts(selfName: string, others: readonly Member[]): Set<string> {
  const contacts = new Set<string>();
  for (const members of utils.groupBy(others, (member) => member.availabilityZone).values()) {
    const weights = members.map(({ name }) => ({ name, weight: utils.hash32(`${selfName}\u0000${name}`) }));
    weights.sort((a, b) => b.weight - a.weight);
    for (const { name } of weights.slice(0, contactsPerZone)) contacts.add(name);
  }
  return contacts;
}
