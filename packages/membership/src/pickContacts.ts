/** Selection of the instances of other zones to which an instance maintains links. */
import { utils } from "@shedtiller/common";
import type { Member } from "./Member.js";

const contactsPerZone = 3;

/** Returns the names of the contacts of `selfName` in each other zone, selected by rendezvous hashing to spread the links evenly. */
export function pickContacts(selfName: string, others: readonly Member[]): Set<string> {
  const contacts = new Set<string>();
  for (const members of utils.groupBy(others, (member) => member.availabilityZone).values()) {
    const weights = members.map(({ name }) => ({ name, weight: utils.hash32(`${selfName}\u0000${name}`) }));
    weights.sort((a, b) => b.weight - a.weight);
    for (const { name } of weights.slice(0, contactsPerZone)) contacts.add(name);
  }
  return contacts;
}
