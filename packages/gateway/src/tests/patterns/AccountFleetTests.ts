/** Patterns of requests by client accounts before too little capacity, with and without fair shares. */
import test from "ava";
import { AccountFleet, type AccountFleetOptions } from "./AccountFleet.js";

const names = Array.from({ length: 10 }, (_, index) => `account-${index}`);
const [first = "", second = ""] = names;
const even = Object.fromEntries(names.map((name) => [name, 10]));
const hot = { ...even, [first]: 100 };
const base = { instances: 30, accounts: even, capacityPerSecond: 80, seed: 5, isShared: true };
const settleMs = 10_000;
const measuredMs = 20_000;

function run(changes: Partial<AccountFleetOptions>): AccountFleet {
  const fleet = new AccountFleet({ ...base, ...changes });
  fleet.run(settleMs);
  fleet.run(measuredMs);
  return fleet;
}

/** Returns the least admitted share of all accounts but the first. */
function getLeastOfOthers(fleet: AccountFleet): number {
  return Math.min(...names.slice(1).map((name) => fleet.getAdmittedShare(name)));
}

test("an account that sends ten times its usual takes little from the others", (t) => {
  t.true(getLeastOfOthers(run({ accounts: hot, isShared: false })) < 0.5, "by urgency alone all lose alike");
  const shared = run({ accounts: hot });
  t.true(getLeastOfOthers(shared) > 0.7);
  const all = shared.getTotal("admitted") / shared.getTotal("requests");
  t.true(shared.getAdmittedShare(first) > all / 4, "nobody is starved");
});

test("accounts that ask for the same are limited no more than by urgency alone", (t) => {
  const [shared, alone] = [run({}), run({ isShared: false })];
  for (const name of names) t.true(shared.getAdmittedShare(name) > alone.getAdmittedShare(name) - 0.1);
});

test("callers that repeat at once take nothing from those that wait", (t) => {
  const [patient, impatient] = [run({}), run({ impatient: first })];
  t.true(getLeastOfOthers(impatient) > getLeastOfOthers(patient) - 0.03);
  t.true(impatient.getAdmittedShare(first) < impatient.getAdmittedShare(second));
});

test("a return is rejected less often than a first attempt", (t) => {
  const getShares = (fleet: AccountFleet): [returned: number, firstAttempts: number] => [
    fleet.getTotal("returnsRejected") / fleet.getTotal("returns"),
    fleet.getTotal("rejected") / fleet.getTotal("requests"),
  ];
  const [returned, attempted] = getShares(run({}));
  t.true(returned < 0.7 * attempted);
  const [returnedAlone, attemptedAlone] = getShares(run({ isShared: false }));
  t.true(returnedAlone > 0.9 * attemptedAlone, "by urgency alone a return is one more attempt");
});

test("a zone that is cut off shares by the rates of its own instances", (t) => {
  const fleet = new AccountFleet({ ...base, accounts: hot });
  fleet.run(settleMs);
  fleet.cutFrom = 10;
  fleet.run(settleMs);
  t.true(getLeastOfOthers(fleet) > 0.6);
});

test("instances that all restart admit by urgency until the first figures, then by shares again", (t) => {
  const fleet = new AccountFleet({ ...base, accounts: hot });
  fleet.run(settleMs);
  fleet.restart();
  fleet.run(settleMs);
  t.true(getLeastOfOthers(fleet) > 0.6);
});

test("nothing is rejected by account while there is enough for all", (t) => {
  const fleet = run({ accounts: hot, capacityPerSecond: 400 });
  t.is(fleet.getTotal("rejected"), 0);
});
