/** Fair shares of accounts, and the ledger and times of returns. */
import test from "ava";
import { getFairDemand, getFairShares } from "../../accounts/fairShares.js";
import { getReturnTime } from "../../accounts/getReturnTime.js";
import { ReturnLedger } from "../../accounts/ReturnLedger.js";

const expected = { service: "engines", priority: 1, returnAtMs: 1_000 };

test("max-min fairness gives small accounts all, and the others the same", (t) => {
  t.is(getFairDemand([2, 4, 30, 40], 26), 10);
  t.is(getFairDemand([2, 4], 6), Number.POSITIVE_INFINITY);
  t.is(getFairDemand([5, 5], 8), 4);
  t.is(getFairDemand([], 8), Number.POSITIVE_INFINITY);
});

test("only an account beyond its share is limited, and it keeps a part", (t) => {
  const others = Array.from({ length: 9 }, (_, index): [string, number] => [`a${index}`, 10]);
  const { limited, fairDemand } = getFairShares({
    byAccount: new Map([["hot", 100], ...others]),
    admitted: 120,
  });
  t.deepEqual([...limited.keys()], ["hot"]);
  t.is(fairDemand, 18);
  const tiny = getFairShares({ byAccount: new Map([["hot", 10_000], ...others]), admitted: 5_000 });
  t.true((tiny.limited.get("hot") ?? 0) > 0.24);
});

test("accounts that ask for about the same are not limited, and a single account never is", (t) => {
  const byAccount = new Map([10, 11, 12, 14].map((demand, index) => [`a${index}`, demand]));
  t.is(getFairShares({ byAccount, admitted: 10 }).limited.size, 0);
  t.is(getFairShares({ byAccount: new Map([["only", 90]]), admitted: 10 }).limited.size, 0);
});

test("nothing admitted yet, as after a restart, limits to what is usual", (t) => {
  const byAccount = new Map([
    ["hot", 100],
    ["small", 2],
    ["other", 3],
  ]);
  const { limited } = getFairShares({ byAccount, admitted: 0 });
  t.deepEqual([...limited], [["hot", 0.045]]);
});

test("a promised return in time is a return once, a request without a rejection is a first attempt", (t) => {
  const ledger = new ReturnLedger(10);
  t.is(ledger.getStatus("d", 0).kind, "first");
  ledger.noteRejected("d", expected, true);
  const status = ledger.getStatus("d", 1_000);
  t.is(status.kind, "returned");
  ledger.noteArrival("d", status);
  t.is(ledger.getStatus("d", 1_000).kind, "first");
  t.is(ledger.size, 0);
});

test("a request back before its time gets the rest of its time, and is a first attempt then", (t) => {
  const ledger = new ReturnLedger(10);
  ledger.noteRejected("d", expected, true);
  const early = ledger.getStatus("d", 300);
  t.deepEqual(early, { kind: "early", remainingMs: 700 });
  ledger.noteArrival("d", early);
  t.is(ledger.getStatus("d", 1_000).kind, "first");
});

test("callers with the same request count one by one", (t) => {
  const ledger = new ReturnLedger(10);
  for (const isPromised of [true, true, false]) ledger.noteRejected("d", expected, isPromised);
  const kinds = [1, 2, 3].map(() => {
    const status = ledger.getStatus("d", 1_010);
    ledger.noteArrival("d", status);
    return status.kind;
  });
  t.deepEqual(kinds, ["returned", "returned", "first"]);
  t.is(ledger.size, 0);
});

test("an entry lapses a second after its time, and the oldest gives way beyond the capacity", (t) => {
  const ledger = new ReturnLedger(2);
  for (const digest of ["a", "b", "c"]) ledger.noteRejected(digest, expected, true);
  t.is(ledger.getStatus("a", 1_000).kind, "first");
  t.is(ledger.getStatus("c", 2_001).kind, "first");
  t.is(ledger.getExpected(2_001).size, 0);
});

test("times to return follow the returns ahead, and beyond the capacity nothing is promised", (t) => {
  const forecast = { targetLatencyMs: 500, admittedPerSecond: 100, returnsAhead: 10, position: 0.5 };
  t.deepEqual(getReturnTime(forecast), { returnMs: 450, isPromised: true });
  t.true(getReturnTime({ ...forecast, returnsAhead: 20 }).returnMs > 450);
  t.is(getReturnTime({ ...forecast, position: 0 }).returnMs, 337.5);
  t.deepEqual(getReturnTime({ ...forecast, returnsAhead: 900 }), { returnMs: 1_000, isPromised: false });
  t.false(getReturnTime({ ...forecast, admittedPerSecond: 0 }).isPromised);
});
